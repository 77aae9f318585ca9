"""Encodings of packets and messages."""
