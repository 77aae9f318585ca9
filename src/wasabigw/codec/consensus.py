"""Encoding of the messages between voters."""

from returns.result import Result

from wasabigw.codec.messages import (
    MalformedMessage,
    UnknownKeys,
    decode,
    encode,
    register_union,
)
from wasabigw.core.consensus.messages import Body, Envelope

register_union(Body)


def encode_envelope(envelope: Envelope) -> bytes:
    """JSON text of a message."""
    return encode(envelope)


def decode_envelope(data: bytes) -> Result[Envelope, MalformedMessage]:
    """Message from JSON text."""
    return decode(data, Envelope, UnknownKeys.IGNORE)
