"""JSON encoding of view updates.

Balancers decode them before they can carry packets, so the encoding uses msgspec,
which loads and decodes faster than the codec of the other messages.
"""

import msgspec
from returns.result import Failure, Result, Success

from wasabigw.core.delivery_view import ViewUpdate

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ViewUpdate)


def encode_update(update: ViewUpdate) -> bytes:
    """UTF-8 JSON text of an update."""
    return _encoder.encode(update)


def decode_update(data: bytes) -> Result[ViewUpdate, str]:
    """Update from JSON text, or what is wrong with it; unknown keys are ignored."""
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
