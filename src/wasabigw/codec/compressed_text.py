"""Compression of stored texts, which consist of many similar parts."""

import base64
import binascii
import zlib

from returns.result import Failure, Result, Success

from wasabigw.core.ids import CompressedText

COMPRESSION_LEVEL = 6
MAX_TEXT_BYTES = 16 * 2**20
"""Largest size of a text; decompression stops with an error beyond it."""


def compress_text(text: str) -> CompressedText:
    """Compress a text; equal texts give equal results."""
    return CompressedText(
        base64.b64encode(zlib.compress(text.encode(), COMPRESSION_LEVEL)).decode(
            "ascii"
        )
    )


def decompress_text(compressed: CompressedText) -> Result[str, str]:
    """Decompress a text, or return an error message."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(base64.b64decode(compressed), MAX_TEXT_BYTES)
        if decompressor.unconsumed_tail:
            return Failure(f"the text is larger than {MAX_TEXT_BYTES} bytes")
        if not decompressor.eof:
            return Failure("the compressed text is damaged: it is truncated")
        return Success(data.decode())
    except (binascii.Error, zlib.error, UnicodeDecodeError) as error:
        return Failure(f"the compressed text is damaged: {error}")
