"""Replicated log: messages and the state machine of a voter."""
