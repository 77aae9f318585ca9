"""Log events of the HTTP clients and servers of a balancer: 3000 to 3999."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class HttpEvent(LogEvent):
    """Events of the log follower, the report sender and the balancer API."""

    SERVER_STARTED = EventDefinition(
        3000,
        Severity.INFO,
        "HTTP server {name} listens on {address}:{port}",
        "None needed.",
    )
    HANDLER_FAILED = EventDefinition(
        3001,
        Severity.ERROR,
        "a request handler of the HTTP API failed: {traceback}",
        "Report it as a fault of wasabigw with this text; the caller got a 500.",
    )
    MAILBOX_FULL = EventDefinition(
        3002,
        Severity.WARNING,
        "a message for {mailbox} was dropped because its mailbox is full",
        "The balancer is overloaded; add balancers to its failure domain.",
    )
    CONNECTION_FAILED = EventDefinition(
        3003,
        Severity.INFO,
        "a connection to the HTTP server {name} ended with an error: {reason}",
        "Expected when clients go silent or disconnect within a request.",
    )
    LEADER_FOUND = EventDefinition(
        3010,
        Severity.INFO,
        "following the log of the leader at {address}:{port}",
        "None needed; frequent changes point to an unstable leader.",
    )
    LEADER_LOST = EventDefinition(
        3011,
        Severity.WARNING,
        "no control endpoint answers as leader; {address}:{port}: {problem}",
        "Check the control VMs and the network to them; flows continue through homes.",
    )
    NO_METRICS = EventDefinition(
        3004,
        Severity.WARNING,
        "no metrics are served at port {port}: {reason}",
        "Choose another port; everything else works without.",
    )
    SOURCE_FOUND = EventDefinition(
        3013,
        Severity.INFO,
        "following the view at {address}:{port}",
        "None needed; frequent changes point to an unstable control VM.",
    )
    SOURCE_LOST = EventDefinition(
        3014,
        Severity.WARNING,
        "no view from {address}:{port}: {reason}",
        "Check the control VM and the network to it; another source is asked.",
    )
    LOG_NOT_APPLIED = EventDefinition(
        3012,
        Severity.WARNING,
        "the packet task has not applied a log batch within {seconds:.1f} s",
        "The balancer is overloaded; add balancers to its failure domain.",
    )
    REPORTS_DROPPED = EventDefinition(
        3020,
        Severity.WARNING,
        "dropped {count} reports: {reason}",
        "None needed if the control VMs were out of reach: homes repeat reports whose "
        "effect is missing. A refusal is a fault of wasabigw.",
    )
