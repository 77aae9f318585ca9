"""Limits of the tables, queues and request bodies of a process."""

from dataclasses import dataclass

from wasabigw.core.flows.cache import CACHE_LIMIT
from wasabigw.core.flows.records import RECORD_LIMIT
from wasabigw.runtime.mailbox import MAILBOX_CAPACITY


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Configurable limits; ``wasabigw.settings.Limits`` documents each of them."""

    flow_cache_entries: int = CACHE_LIMIT
    flow_records: int = RECORD_LIMIT
    mailbox_messages: int = MAILBOX_CAPACITY
    request_body_bytes: int = 1_048_576
    http_threads: int = 64
    http_queue: int = 256
    trace_file_bytes: int = 67_108_864


DEFAULT_LIMITS = ProcessLimits()
