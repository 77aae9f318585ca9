#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the change of the configuration.
cd "$(dirname "$0")"
PYTHONPATH=.. exec python3 case.py
