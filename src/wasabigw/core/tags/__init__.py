"""Delivery by tags: the packets of an open flow name their backend server."""
