#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the loss of the disk.
cd "$(dirname "$0")"
PYTHONPATH=.. exec python3 case.py
