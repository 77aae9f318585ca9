"""Numbered log events, traces and metrics."""
