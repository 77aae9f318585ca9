"""Columns of load figures, compressed, and as text.

Figures are kept in columns of one byte, exact up to 24 and with a relative error of
2.2% above; answer times are means with that error. Tags are numbered as backend servers
start, so in their order the differences are small. All is compressed with DEFLATE.
"""

import base64
import math
import zlib
from collections.abc import Sequence
from itertools import accumulate, pairwise
from typing import Annotated

from msgspec import Meta, Struct

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.load.figures import ServerFigures, ServiceFigures

MAX_TEXT_BYTES = 12_000
"""Maximum size of a text, below that of the header section of a request."""
MAX_PLAIN_BYTES = 2**20
"""Maximum size after decompression."""
MAX_SERVERS = 16_384
"""Maximum number of backend servers in one message."""
MAX_SERVICES = 4_096
MAX_COUNT = 1_000_000
"""Maximum value of a count."""
STEPS = 16
"""Steps of an encoded figure for each doubling."""
MAX_EXACT = 24
"""Largest count that is encoded exactly."""
MAX_TAG = 2**32 - 1

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
_Differences = Annotated[
    list[Annotated[int, Meta(ge=1, le=MAX_TAG + 1)]], Meta(max_length=MAX_SERVERS)
]
_Positions = Annotated[list[Count], Meta(max_length=MAX_SERVICES)]
_Names = Annotated[list[Name], Meta(max_length=MAX_SERVICES)]


class ServerColumns(Struct, array_like=True):
    """Columns of the figures of backend servers, in the order of their tags.

    :param tags: difference of each tag to the one before; the first to -1.
    :param times: mean answer times.
    """

    tags: _Differences
    flows: bytes
    in_flight: bytes
    openings: bytes
    answers: bytes
    times: bytes


class ServiceColumns(Struct, array_like=True):
    """Columns of the figures of services; names are given once.

    :param service: position of the service in ``names``.
    :param domain: position of the failure domain in ``names``.
    """

    names: _Names
    service: _Positions
    domain: _Positions
    flows: bytes
    in_flight: bytes
    arrivals: bytes


def server_columns(figures: Sequence[ServerFigures]) -> ServerColumns:
    """Columns of the figures of different backend servers."""
    figures = sorted(figures)
    tags = [-1, *(f.tag for f in figures)]
    return ServerColumns(
        [after - before for before, after in pairwise(tags)],
        bytes(_count_code(f.flows) for f in figures),
        bytes(_count_code(f.in_flight) for f in figures),
        bytes(_count_code(f.openings) for f in figures),
        bytes(_count_code(f.answers) for f in figures),
        bytes(_time_code(f.answer_time, f.answers) for f in figures),
    )


def server_figures(columns: ServerColumns) -> tuple[ServerFigures, ...]:
    """Figures in columns.

    :raises ValueError: if a tag is too large or columns have different lengths.
    """
    tags = [total - 1 for total in accumulate(columns.tags)]
    if tags and tags[-1] > MAX_TAG:
        raise ValueError(f"a tag is above {MAX_TAG}")
    rows = zip(
        tags,
        columns.flows,
        columns.in_flight,
        columns.openings,
        columns.answers,
        columns.times,
        strict=True,
    )
    return tuple(
        ServerFigures(
            Tag(tag),
            _COUNTS[flows],
            _COUNTS[in_flight],
            _COUNTS[openings],
            _COUNTS[answers],
            Seconds(_MEAN_TIMES[time] * _COUNTS[answers]),
        )
        for tag, flows, in_flight, openings, answers, time in rows
    )


def service_columns(figures: Sequence[ServiceFigures]) -> ServiceColumns:
    """Columns of figures of services."""
    names: list[str] = sorted(
        {name for f in figures for name in (f.service, f.failure_domain)}
    )
    positions = {name: position for position, name in enumerate(names)}
    return ServiceColumns(
        names,
        [positions[f.service] for f in figures],
        [positions[f.failure_domain] for f in figures],
        bytes(_count_code(f.flows) for f in figures),
        bytes(_count_code(f.in_flight) for f in figures),
        bytes(_count_code(f.arrivals) for f in figures),
    )


def service_figures(columns: ServiceColumns) -> tuple[ServiceFigures, ...]:
    """Figures in columns.

    :raises ValueError: if a name is missing or columns have different lengths.
    """
    names = columns.names
    if any(position >= len(names) for position in columns.service + columns.domain):
        raise ValueError("a name is missing")
    rows = zip(
        columns.service,
        columns.domain,
        columns.flows,
        columns.in_flight,
        columns.arrivals,
        strict=True,
    )
    return tuple(
        ServiceFigures(
            ServiceId(names[service]),
            FailureDomainId(names[domain]),
            _COUNTS[flows],
            _COUNTS[in_flight],
            _COUNTS[arrivals],
        )
        for service, domain, flows, in_flight, arrivals in rows
    )


def _time_code(total: Seconds, answers: int) -> int:
    """Code of a mean time in one byte, in steps of equal ratio above 1 ms."""
    if answers <= 0 or total <= 0:
        return 0
    return min(255, round(STEPS * math.log2(1 + 1000 * total / answers)))


def _count_code(count: int) -> int:
    """Code of a count in one byte, in steps of equal ratio if it is large."""
    if count <= MAX_EXACT:
        return max(count, 0)
    return min(255, MAX_EXACT + round(STEPS * math.log2(count / MAX_EXACT)))


_COUNTS = (
    *range(MAX_EXACT + 1),
    *(round(MAX_EXACT * 2 ** (step / STEPS)) for step in range(1, 256 - MAX_EXACT)),
)
"""Count for each code."""
LARGEST_COUNT = _COUNTS[-1]
"""Largest count of a backend server that can be encoded; larger ones become it."""
_MEAN_TIMES = tuple((2 ** (code / STEPS) - 1) / 1000 for code in range(256))
"""Mean time for each code, up to 63 s."""


def compress(plain: bytes) -> bytes:
    """Compressed message."""
    compressor = zlib.compressobj(wbits=-zlib.MAX_WBITS)
    return compressor.compress(plain) + compressor.flush()


def decompress(data: bytes) -> bytes:
    """Decompressed message.

    :raises ValueError: if it is incomplete or too long.
    :raises zlib.error: if it is not compressed.
    """
    decompressor = zlib.decompressobj(-zlib.MAX_WBITS)
    plain = decompressor.decompress(data, MAX_PLAIN_BYTES)
    if not decompressor.eof:
        raise ValueError(f"incomplete, or above {MAX_PLAIN_BYTES} bytes")
    if decompressor.unused_data:
        raise ValueError(f"{len(decompressor.unused_data)} more bytes than expected")
    return plain


def to_text(data: bytes) -> str:
    """Encode as URL-safe Base64 without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def from_text(text: str) -> bytes:
    """Decode URL-safe Base64.

    :raises ValueError: if it is too long or another text.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"the text exceeds {MAX_TEXT_BYTES} bytes")
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b"-_", validate=True)
