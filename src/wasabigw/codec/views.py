"""JSON encoding of view updates.

Balancers can't forward packets before they have decoded a view, so the encoding uses
msgspec, which imports and decodes faster than the codec of the other messages.
"""

import msgspec
from returns.result import Failure, Result, Success

from wasabigw.core.delivery_view import ViewUpdate

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ViewUpdate)


def encode_update(update: ViewUpdate) -> bytes:
    """Encode an update as UTF-8 JSON text."""
    return _encoder.encode(update)


def decode_update(data: bytes) -> Result[ViewUpdate, str]:
    """Decode an update from JSON text, or return an error message.

    Unknown keys are ignored.
    """
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))
