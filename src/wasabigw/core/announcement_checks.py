"""Checks of announcements of backend servers that are addressed by tags.

What is accepted enters the replicated log, from where every process reads it. A value
outside these limits could stop its readers, or keep later announcements out.
"""

from wasabigw.core.endpoint import endpoint_problem
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import BootAnnouncement
from wasabigw.core.numbers import MAX_EXACT_INTEGER

MAX_NAME_LENGTH = 200
MAX_SLOTS = 65_536
"""Most requests that one backend server can process at the same time."""
MAX_COLD_TIME = Seconds(86_400.0)
MAX_CLOCK_DIFFERENCE_MS = 3_600_000
"""How far the clock of a backend server may be ahead.

While a boot announces itself, it gets the new flows of those under its id and at its
endpoint that started earlier. One that seems to start in the distant future would take
those of every later one as well.
"""


def announcement_problem(
    announcement: BootAnnouncement, wall_clock_ms: int
) -> str | None:
    """What makes an announcement unacceptable, or ``None``.

    :param wall_clock_ms: present time of this control VM in Unix milliseconds.
    """
    for kind, name in (
        ("id", announcement.id),
        ("service", announcement.service),
        ("failure domain", announcement.failure_domain),
    ):
        if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
            return (
                f"the {kind} {name[:MAX_NAME_LENGTH]!a} must have 1 to "
                f"{MAX_NAME_LENGTH} printable characters"
            )
    if not 1 <= announcement.slots <= MAX_SLOTS:
        return f"the number of slots must be 1 to {MAX_SLOTS}"
    if not 0 <= announcement.sequence <= MAX_EXACT_INTEGER:
        return f"the sequence number must be 0 to {MAX_EXACT_INTEGER}"
    if not 0 <= announcement.cold_for <= MAX_COLD_TIME:
        return f"the rest of the cold start must be 0 to {MAX_COLD_TIME:.0f} s"
    latest = wall_clock_ms + MAX_CLOCK_DIFFERENCE_MS
    if not 0 <= announcement.started_at <= latest:
        return f"the start time must be 0 to {latest} ms after the Unix epoch"
    return endpoint_problem(announcement.endpoint)
