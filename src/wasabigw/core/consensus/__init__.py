"""Consensus on the replicated log: messages and the state machine of a voter."""
