"""Compact encoding of load figures.

Figures of backend servers are kept in columns of one byte, exact up to 24 and with a
relative error of 2.2% above; answer times are means with that error. The columns and
all names are MessagePack, compressed with DEFLATE. Tags are random and follow without
compression. Reports travel in the query of a poll and sums in its JSON response, so
both are text in URL-safe Base64.
"""

import base64
import math
import struct
import zlib
from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct
from returns.result import Failure, Result, Success

from wasabigw.core.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.load.figures import (
    LoadReport,
    LoadSums,
    ServerFigures,
    ServiceFigures,
)
from wasabigw.core.load.sums import ArrivedBalancer

MAX_TEXT_BYTES = 12_000
"""Maximum size of a report, below that of the header section of a request."""
MAX_PLAIN_BYTES = 2**20
"""Maximum size after decompression."""
MAX_SERVERS = 16_384
"""Maximum number of backend servers in one message."""
MAX_SERVICES = 4_096
MAX_COUNT = 1_000_000
"""Maximum value of a count."""
MAX_ARRIVED = 100
"""Balancers that one poll of a relay names as arrived."""
MAX_AGE_MS = 60_000
MAX_SEQUENCE = 2**53
STEPS = 16
"""Steps of an encoded figure for each doubling."""
MAX_EXACT = 24
"""Largest count that is encoded exactly."""
TAG_BYTES = 4

_Name = Annotated[str, Meta(min_length=1, max_length=200)]
_Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
_Age = Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]
_ServiceColumn = Annotated[list[_Count], Meta(max_length=MAX_SERVICES)]
_Names = Annotated[list[_Name], Meta(max_length=MAX_SERVICES)]


class _Servers(Struct, array_like=True):
    """Columns of the figures of backend servers, in the order of their tags.

    :param times: mean answer times.
    """

    flows: bytes
    in_flight: bytes
    openings: bytes
    answers: bytes
    times: bytes


class _Services(Struct, array_like=True):
    """Columns of the figures of services; names are given once.

    :param service: position of the service in ``names``.
    :param domain: position of the failure domain in ``names``.
    """

    names: _Names
    service: _ServiceColumn
    domain: _ServiceColumn
    flows: _ServiceColumn
    in_flight: _ServiceColumn
    arrivals: _ServiceColumn


class _Report(Struct, array_like=True):
    node: _Name
    incarnation: _Name
    failure_domain: _Name
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
    share: Annotated[float, Meta(gt=0, le=1)]
    age_ms: _Age
    servers: _Servers
    services: _Services


class _Sums(Struct, array_like=True):
    age_ms: _Age
    balancers: _Count
    servers: _Servers
    services: _Services


_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(_Report)
_sums_decoder = msgspec.msgpack.Decoder(_Sums)
_arrived_decoder = msgspec.msgpack.Decoder(list[tuple[_Name, _Age]])
_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, ValueError, zlib.error)


def encode_report(report: LoadReport, age: Seconds) -> str:
    """Encode a report as text for the query of a poll.

    :param age: time since it was made.
    """
    message = _Report(
        report.node,
        report.incarnation,
        report.failure_domain,
        report.sequence,
        report.share,
        _milliseconds(age),
        _server_columns(report.servers),
        _service_columns(report.services),
    )
    return _to_text(_join(_encoder.encode(message), report.servers))


def decode_report(text: str) -> Result[LoadReport, str]:
    """Decode a report, or return an error message."""
    try:
        plain, tags = _split(_from_text(text))
        message = _report_decoder.decode(plain)
        report = LoadReport(
            NodeId(message.node),
            Incarnation(message.incarnation),
            FailureDomainId(message.failure_domain),
            message.sequence,
            _finite(message.share),
            _server_figures(tags, message.servers),
            _service_figures(message.services),
            Seconds(message.age_ms / 1000),
        )
    except _ERRORS as error:
        return Failure(str(error))
    return Success(report)


def encode_sums(sums: LoadSums) -> bytes:
    """Encode sums for another relay."""
    message = _Sums(
        _milliseconds(sums.age),
        min(sums.balancers, MAX_COUNT),
        _server_columns(sums.servers),
        _service_columns(sums.services),
    )
    return _join(_encoder.encode(message), sums.servers)


def decode_sums(data: bytes) -> Result[LoadSums, str]:
    """Decode sums, or return an error message."""
    try:
        plain, tags = _split(data)
        message = _sums_decoder.decode(plain)
        sums = LoadSums(
            Seconds(message.age_ms / 1000),
            message.balancers,
            _server_figures(tags, message.servers),
            _service_figures(message.services),
        )
    except _ERRORS as error:
        return Failure(str(error))
    return Success(sums)


def encode_arrived(arrived: Sequence[ArrivedBalancer]) -> str:
    """Encode balancers that have changed their relay as text for a query.

    Beyond :data:`MAX_ARRIVED` they are left out; they count twice until the report that
    their former relay has is too old.
    """
    rows = [(b.node, _milliseconds(b.age)) for b in arrived[:MAX_ARRIVED]]
    return _to_text(_encoder.encode(rows))


def decode_arrived(text: str) -> Result[tuple[ArrivedBalancer, ...], str]:
    """Decode balancers that have changed their relay, or return an error message."""
    try:
        rows = _arrived_decoder.decode(_from_text(text))
    except _ERRORS as error:
        return Failure(str(error))
    return Success(
        tuple(ArrivedBalancer(NodeId(n), Seconds(age / 1000)) for n, age in rows)
    )


class _ResponseWithLoad(Struct):
    load: msgspec.Raw = msgspec.Raw()


_response_decoder = msgspec.json.Decoder(_ResponseWithLoad)
_text_decoder = msgspec.json.Decoder(str)


def add_sums(response: bytes, sums: LoadSums) -> bytes:
    """Add sums to the JSON response to a poll, as the key ``load``."""
    text = _to_text(encode_sums(sums))
    return response[:-1] + b',"load":"' + text.encode() + b'"}'


class ReceivedSums(NamedTuple):
    """Sums of a response.

    :param size: bytes of their encoding.
    """

    sums: LoadSums
    size: int


def sums_of_response(response: bytes) -> Result[ReceivedSums | None, str]:
    """Sums in a JSON response; ``None`` if it has none."""
    try:
        raw = bytes(_response_decoder.decode(response).load)
        if not raw:
            return Success(None)
        text = _text_decoder.decode(raw)
        data = _from_text(text)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return Failure(str(error))
    return decode_sums(data).map(lambda sums: ReceivedSums(sums, len(text)))


def _server_columns(figures: Sequence[ServerFigures]) -> _Servers:
    return _Servers(
        bytes(_count_code(f.flows) for f in figures),
        bytes(_count_code(f.in_flight) for f in figures),
        bytes(_count_code(f.openings) for f in figures),
        bytes(_count_code(f.answers) for f in figures),
        bytes(_time_code(f.answer_time, f.answers) for f in figures),
    )


def _server_figures(
    tags: tuple[int, ...], columns: _Servers
) -> tuple[ServerFigures, ...]:
    if len(set(tags)) < len(tags):
        raise ValueError("a tag is repeated")
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


def _service_columns(figures: Sequence[ServiceFigures]) -> _Services:
    names: list[str] = sorted(
        {name for f in figures for name in (f.service, f.failure_domain)}
    )
    positions = {name: position for position, name in enumerate(names)}
    return _Services(
        names,
        [positions[f.service] for f in figures],
        [positions[f.failure_domain] for f in figures],
        [min(f.flows, MAX_COUNT) for f in figures],
        [min(f.in_flight, MAX_COUNT) for f in figures],
        [min(f.arrivals, MAX_COUNT) for f in figures],
    )


def _service_figures(columns: _Services) -> tuple[ServiceFigures, ...]:
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
            flows,
            in_flight,
            arrivals,
        )
        for service, domain, flows, in_flight, arrivals in rows
    )


def _time_code(total: Seconds, answers: int) -> int:
    """Code of a mean time in one byte, in steps of equal ratio above 1 ms."""
    if answers == 0:
        return 0
    return min(255, round(STEPS * math.log2(1 + 1000 * total / answers)))


def _count_code(count: int) -> int:
    """Code of a count in one byte, in steps of equal ratio if it is large."""
    if count <= MAX_EXACT:
        return count
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


def _milliseconds(age: Seconds) -> int:
    return min(MAX_AGE_MS, max(0, round(age * 1000)))


def _finite(number: float) -> float:
    if not math.isfinite(number):
        raise ValueError("a number is not finite")
    return number


def _join(plain: bytes, figures: Sequence[ServerFigures]) -> bytes:
    """Compressed message, followed by the tags of its backend servers."""
    compressor = zlib.compressobj(wbits=-zlib.MAX_WBITS)
    tags = struct.pack(f">{len(figures)}I", *(f.tag for f in figures))
    return compressor.compress(plain) + compressor.flush() + tags


def _split(data: bytes) -> tuple[bytes, tuple[int, ...]]:
    """Decompressed message, and the tags that follow it."""
    decompressor = zlib.decompressobj(-zlib.MAX_WBITS)
    plain = decompressor.decompress(data, MAX_PLAIN_BYTES)
    if not decompressor.eof:
        raise ValueError(f"incomplete, or above {MAX_PLAIN_BYTES} bytes")
    tags = decompressor.unused_data
    if len(tags) % TAG_BYTES or len(tags) > TAG_BYTES * MAX_SERVERS:
        raise ValueError(f"{len(tags)} bytes of tags")
    return plain, struct.unpack(f">{len(tags) // TAG_BYTES}I", tags)


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"the text exceeds {MAX_TEXT_BYTES} bytes")
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b"-_", validate=True)
