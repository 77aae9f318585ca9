"""Tests of wasabigw."""

from hypothesis import settings

# Property tests draw the same examples in each run, so that a verdict repeats.
settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.load_profile("repeatable")
