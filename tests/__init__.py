"""Tests of wasabigw."""

import sys
from pathlib import Path

from hypothesis import settings

# Property tests draw the same examples in each run, so that a verdict repeats.
settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.load_profile("repeatable")

# The adapter to the users' platform is no part of the installed packages.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
