"""Checks of the promises of the system over the record of a run."""
