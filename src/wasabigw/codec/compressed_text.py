"""Texts that are kept compressed, because they consist of many similar parts."""

import base64
import binascii
import zlib

from returns.result import Failure, Result, Success

from wasabigw.core.ids import CompressedText

LEVEL = 6
MAX_TEXT_BYTES = 16 * 2**20
"""Largest text that is read; a longer one is refused before it is expanded."""


def compress_text(text: str) -> CompressedText:
    """Compressed form of a text; the same for equal texts."""
    return CompressedText(
        base64.b64encode(zlib.compress(text.encode(), LEVEL)).decode("ascii")
    )


def decompress_text(compressed: CompressedText) -> Result[str, str]:
    """Text from its compressed form, or what is wrong with it."""
    expander = zlib.decompressobj()
    try:
        data = expander.decompress(base64.b64decode(compressed), MAX_TEXT_BYTES)
        if expander.unconsumed_tail:
            return Failure(f"the text has more than {MAX_TEXT_BYTES} bytes")
        if not expander.eof:
            return Failure("the compressed text is damaged: it ends early")
        return Success(data.decode())
    except (binascii.Error, zlib.error, UnicodeDecodeError) as error:
        return Failure(f"the compressed text is damaged: {error}")
