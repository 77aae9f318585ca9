"""Encoding and decoding of packets and messages."""
