"""JSON encoding of the consensus messages between voters."""

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
    """Encode a message as JSON text."""
    return encode(envelope)


def decode_envelope(data: bytes) -> Result[Envelope, MalformedMessage]:
    """Decode a message from JSON text; unknown keys are ignored."""
    return decode(data, Envelope, UnknownKeys.IGNORE)
