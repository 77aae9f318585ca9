"""Log events of decisions on flows: 5000 to 5999.

A flow is named as callers and listeners see it: ``ADDRESS:PORT>ADDRESS:PORT``.
"""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class FlowEvent(LogEvent):
    """Decisions of a balancer that delivers by tags."""

    OPENED = EventDefinition(
        5000,
        Severity.INFO,
        "flow {flow}: opening packet, copy {repeat}, to {server} of {service} in "
        "{failure_domain} as tag {tag}; {reason}; view {revision} of age {age} s, "
        "configuration {version}, {open_flows} flows there from here",
        "None needed.",
    )
    REFUSED = EventDefinition(
        5001,
        Severity.WARNING,
        "flow {flow}: reset, {reason}; tag {tag}, backend server {server}, silent for "
        "{silent_for} s; view {revision} of age {age} s, configuration {version}",
        "docs/OPERATIONS.md says for each reason what it depends on.",
    )
    DROPPED = EventDefinition(
        5002,
        Severity.WARNING,
        "flow {flow}: packet dropped, {reason}; tag {tag}, backend server {server}, "
        "silent for {silent_for} s; view {revision} of age {age} s, configuration "
        "{version}",
        "docs/OPERATIONS.md says for each reason what it depends on.",
    )
    SERVER_DOUBTED = EventDefinition(
        5004,
        Severity.WARNING,
        "backend server {server} of {service} in {failure_domain}, tag {tag}: no new "
        "flows for {pause} s, then one as a probe; {reason}, {failures} times in a "
        "row, silent for {silent_for} s",
        "If several balancers say so, look at the backend server; if one does, at the "
        "way between the two.",
    )
    SERVER_ANSWERS = EventDefinition(
        5005,
        Severity.INFO,
        "backend server {server} of {service} in {failure_domain}, tag {tag}: answers "
        "again and gets new flows; silent for {silent_for} s",
        "None needed.",
    )
    LEFT_OUT = EventDefinition(
        5003,
        Severity.INFO,
        "{count} lines of {kind} were left out in the last second",
        "None needed; the counters have all decisions.",
    )
