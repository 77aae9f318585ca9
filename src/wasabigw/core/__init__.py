"""Decisions of wasabigw: pure code without input, output, clocks or threads."""
