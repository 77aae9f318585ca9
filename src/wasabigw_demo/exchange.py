"""What callers and backend servers say to each other over TCP and UDP.

Over TCP a request is one JSON line, and an answer is a JSON line and a body.
Over UDP a request is one datagram and an answer is one datagram for each part.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from wasabigw.codec import messages
from wasabigw.codec.messages import MalformedMessage
from wasabigw.core.ids import BackendServerId, RequestId

MAX_LINE = 1024
MAX_ANSWER = 8 * 1024 * 1024
PART_SIZE = 1000
_SEPARATOR = b"\n"


class AnswerStatus(Enum):
    """Whether the backend server ran the request."""

    OK = "ok"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Request:
    """A request for pseudo-random bytes.

    :param size: bytes of the answer.
    :param spread: seconds over which the answer is sent.
    """

    id: RequestId
    size: int
    idempotent: bool
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerHeader:
    """First line of an answer.

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
    """The only right answer to a request."""
    return hashlib.shake_128(request.id.encode()).digest(request.size)


def digest_of(body: bytes) -> str:
    """Digest in an answer header."""
    return hashlib.sha256(body).hexdigest()


def encode_line(message: Request | AnswerHeader) -> bytes:
    """One JSON line."""
    return messages.encode(message) + _SEPARATOR


def decode_request(line: bytes) -> Result[Request, MalformedMessage]:
    """Request from a JSON line."""
    decoded: Result[Request, MalformedMessage] = messages.decode(line, Request)
    return decoded.bind(_checked)


def decode_answer(line: bytes) -> Result[AnswerHeader, MalformedMessage]:
    """Answer header from a JSON line."""
    return messages.decode(line, AnswerHeader)


def take_line(buffer: bytearray) -> bytes | None:
    """Remove the first line from a buffer; ``None`` if none is complete."""
    end = buffer.find(_SEPARATOR)
    if end < 0:
        return None
    line = bytes(buffer[:end])
    del buffer[: end + 1]
    return line


def parts_of(body: bytes) -> list[bytes]:
    """Body in pieces that fit a datagram; an empty body has one empty part."""
    starts = range(0, max(len(body), 1), PART_SIZE)
    return [body[start : start + PART_SIZE] for start in starts]


def _checked(request: Request) -> Result[Request, MalformedMessage]:
    if 0 <= request.size <= MAX_ANSWER and 0 <= request.spread <= 600:
        return Success(request)
    problem = f"size must be 0 to {MAX_ANSWER} and spread 0 to 600 seconds"
    return Failure(MalformedMessage((problem,)))
