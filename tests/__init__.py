"""Tests of wasabigw."""
