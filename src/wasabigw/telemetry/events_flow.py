"""Log events of decisions on flows: 5000 to 5999.

A flow is shown as ``ADDRESS:PORT>ADDRESS:PORT``: the caller and the listener, with the
addresses that both of them see.
"""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class FlowEvent(LogEvent):
    """Decisions of a balancer that sends packets to backend servers by their tags."""

    OPENED = EventDefinition(
        5000,
        Severity.INFO,
        "flow {flow}: opening packet, {repeat} retransmissions, sent to backend server "
        "{server} of {service} in {failure_domain}, tag {tag}; {reason}; view revision "
        "{revision}, view age {age} s, configuration {version}, {open_flows} open "
        "flows of this balancer at the backend server",
        "None needed.",
    )
    REFUSED = EventDefinition(
        5001,
        Severity.WARNING,
        "flow {flow}: reset, {reason}; tag {tag}, backend server {server}, silent for "
        "{silent_for} s; view revision {revision}, view age {age} s, configuration "
        "{version}",
        "docs/OPERATIONS.md describes each reason and what it depends on.",
    )
    DROPPED = EventDefinition(
        5002,
        Severity.WARNING,
        "flow {flow}: packet dropped, {reason}; tag {tag}, backend server {server}, "
        "silent for {silent_for} s; view revision {revision}, view age {age} s, "
        "configuration {version}",
        "docs/OPERATIONS.md describes each reason and what it depends on.",
    )
    SERVER_DOUBTED = EventDefinition(
        5004,
        Severity.WARNING,
        "backend server {server} of {service} in {failure_domain}, tag {tag}: circuit "
        "breaker open, no new flows for {pause} s, then one as a probe; {reason}, "
        "{failures} consecutive failures, silent for {silent_for} s",
        "If several balancers log this, check the backend server; if only one does, "
        "check the network between the two.",
    )
    SERVER_ANSWERS = EventDefinition(
        5005,
        Severity.INFO,
        "backend server {server} of {service} in {failure_domain}, tag {tag}: circuit "
        "breaker closed, it gets new flows again; silent for {silent_for} s",
        "None needed.",
    )
    HOST_CHECKED = EventDefinition(
        5006,
        Severity.INFO,
        "host {endpoint} of the backend server with tag {tag} is {status}: connection "
        "attempts for {seconds} s: {attempts}; at the same time to {references}: "
        "{reference_attempts}; in its failure domain {failure_domain}: "
        "{on_path_attempts}; elsewhere: {elsewhere_attempts}; failure domains of the "
        "other hosts: {reference_domains}; at an unused port: {unused_port_attempts}",
        "If unreachable, the open flows of the backend server are reset. Unknown: the "
        "path to its failure domain loses packets, the other hosts did not answer "
        "either, the host is up and its queue of new connections full, or the balancer "
        "was late; see WGW-2027.",
    )
    LEFT_OUT = EventDefinition(
        5003,
        Severity.INFO,
        "{count} lines of {kind} were suppressed in the last second",
        "None needed; the counters include the decisions of suppressed lines.",
    )
