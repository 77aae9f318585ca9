"""Request protocol between callers and backend servers, over TCP and UDP.

Over TCP a request is one JSON line, and an answer is a JSON line and a body.
Over UDP a request is one datagram, and an answer is one datagram for each part.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from wasabigw.codec import messages
from wasabigw.codec.messages import MalformedMessage
from wasabigw.core.ids import BackendServerId, RequestId

MAX_LINE_SIZE = 1024
MAX_BODY_SIZE = 8 * 1024 * 1024
PART_SIZE = 1000
_LINE_END = b"\n"


class AnswerStatus(Enum):
    """Whether the backend server ran the request."""

    OK = "ok"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Request:
    """A request for pseudo-random bytes.

    :param size: size of the answer's body in bytes.
    :param idempotent: whether the request may run more than once.
    :param spread: period in seconds over which the answer is sent.
    """

    id: RequestId
    size: int
    idempotent: bool
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerHeader:
    """Header line of an answer.

    :param digest: SHA-256 of the whole body, in hexadecimal.
    :param part: number of the part of the body that follows (UDP only).
    """

    id: RequestId
    status: AnswerStatus
    size: int
    digest: str
    server: BackendServerId
    part: int = 0


def expected_body(request: Request) -> bytes:
    """Body of the correct answer to a request."""
    return hashlib.shake_128(request.id.encode()).digest(request.size)


def body_digest(body: bytes) -> str:
    """Digest of a body for its answer header."""
    return hashlib.sha256(body).hexdigest()


def encode_line(message: Request | AnswerHeader) -> bytes:
    """Encode a message as one JSON line."""
    return messages.encode(message) + _LINE_END


def decode_request(line: bytes) -> Result[Request, MalformedMessage]:
    """Decode a request from a JSON line, and validate its values."""
    decoded: Result[Request, MalformedMessage] = messages.decode(line, Request)
    return decoded.bind(_validate)


def decode_answer(line: bytes) -> Result[AnswerHeader, MalformedMessage]:
    """Decode an answer header from a JSON line."""
    return messages.decode(line, AnswerHeader)


def pop_line(buffer: bytearray) -> bytes | None:
    """Remove and return the first line of a buffer; ``None`` if it is incomplete."""
    end = buffer.find(_LINE_END)
    if end < 0:
        return None
    line = bytes(buffer[:end])
    del buffer[: end + 1]
    return line


def split_into_parts(body: bytes) -> list[bytes]:
    """Split a body into parts for datagrams; an empty body has one empty part."""
    starts = range(0, max(len(body), 1), PART_SIZE)
    return [body[start : start + PART_SIZE] for start in starts]


def _validate(request: Request) -> Result[Request, MalformedMessage]:
    if 0 <= request.size <= MAX_BODY_SIZE and 0 <= request.spread <= 600:
        return Success(request)
    problem = f"size must be 0 to {MAX_BODY_SIZE} and spread 0 to 600 seconds"
    return Failure(MalformedMessage((problem,)))
