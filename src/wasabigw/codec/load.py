"""Compact encoding of load reports and sums.

Reports travel in the query of a poll and sums in its JSON response, so both are text in
URL-safe Base64. Both are MessagePack with the columns of
:mod:`wasabigw.codec.load_columns`. The age of sums comes first, so that encoded sums
can be sent later.
"""

import zlib
from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct
from returns.result import Failure, Result, Success

from wasabigw.codec.load_columns import (
    MAX_COUNT,
    Count,
    Name,
    ServerColumns,
    ServiceColumns,
    compress,
    decompress,
    from_text,
    server_columns,
    server_figures,
    service_columns,
    service_figures,
    to_text,
)
from wasabigw.core.ids import FailureDomainId, Incarnation, NodeId, Seconds
from wasabigw.core.load.figures import LoadReport, LoadSums, StratumSizes
from wasabigw.core.load.sampling import entries_of
from wasabigw.core.load.table import ArrivedBalancer

MAX_ARRIVED = 100
"""Balancers that one poll of a relay names as arrived."""
MAX_AGE_MS = 60_000
MAX_SEQUENCE = 2**53
AGE_BYTES = 2

_Age = Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]


class _Report(Struct, array_like=True):
    node: Name
    incarnation: Name
    failure_domain: Name
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
    sizes: tuple[Count, Count, Count]
    age_ms: _Age
    servers: ServerColumns
    services: ServiceColumns


class _Sums(Struct, array_like=True):
    balancers: Count
    servers: ServerColumns
    services: ServiceColumns


_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(_Report)
_sums_decoder = msgspec.msgpack.Decoder(_Sums)
_arrived_decoder = msgspec.msgpack.Decoder(list[tuple[Name, _Age]])
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
        report.sizes,
        _milliseconds(age),
        server_columns(report.servers),
        service_columns(report.services),
    )
    return to_text(compress(_encoder.encode(message)))


def decode_report(text: str) -> Result[LoadReport, str]:
    """Decode a report, or return an error message."""
    try:
        message = _report_decoder.decode(decompress(from_text(text)))
        report = LoadReport(
            NodeId(message.node),
            Incarnation(message.incarnation),
            FailureDomainId(message.failure_domain),
            message.sequence,
            StratumSizes(*message.sizes),
            server_figures(message.servers),
            service_figures(message.services),
            Seconds(message.age_ms / 1000),
        )
    except _ERRORS as error:
        return Failure(str(error))
    entries = zip(report.sizes, entries_of(report.servers), strict=True)
    if any(size < count for size, count in entries):
        return Failure("the report names more backend servers than there are")
    return Success(report)


def encode_sums(sums: LoadSums) -> bytes:
    """Encode sums for another relay."""
    message = _Sums(
        min(sums.balancers, MAX_COUNT),
        server_columns(sums.servers),
        service_columns(sums.services),
    )
    return _age_of_sums(sums.age) + compress(_encoder.encode(message))


def with_age(encoded: bytes, age: Seconds) -> bytes:
    """Encoded sums with another age."""
    return _age_of_sums(age) + encoded[AGE_BYTES:]


def _age_of_sums(age: Seconds) -> bytes:
    return _milliseconds(age).to_bytes(AGE_BYTES, "big")


def decode_sums(data: bytes) -> Result[LoadSums, str]:
    """Decode sums, or return an error message."""
    try:
        message = _sums_decoder.decode(decompress(data[AGE_BYTES:]))
        sums = LoadSums(
            Seconds(int.from_bytes(data[:AGE_BYTES], "big") / 1000),
            message.balancers,
            server_figures(message.servers),
            service_figures(message.services),
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
    return to_text(_encoder.encode(rows))


def decode_arrived(text: str) -> Result[tuple[ArrivedBalancer, ...], str]:
    """Decode balancers that have changed their relay, or return an error message."""
    try:
        rows = _arrived_decoder.decode(from_text(text))
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
    text = to_text(encode_sums(sums))
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
        if raw in (b"", b"null"):
            return Success(None)
        text = _text_decoder.decode(raw)
        data = from_text(text)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return Failure(str(error))
    return decode_sums(data).map(lambda sums: ReceivedSums(sums, len(text)))


def _milliseconds(age: Seconds) -> int:
    return min(MAX_AGE_MS, max(0, round(age * 1000)))
