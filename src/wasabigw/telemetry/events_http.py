"""Log events of the HTTP clients and servers of a balancer: 3000 to 3999."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class HttpEvent(LogEvent):
    """Events of the followers of log and view, the report sender and HTTP servers."""

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
        "Report it as a bug in wasabigw with this text; the client got status 500.",
    )
    MAILBOX_FULL = EventDefinition(
        3002,
        Severity.WARNING,
        "dropped a message for {mailbox}, because its mailbox is full",
        "The balancer is overloaded; add balancers to its failure domain.",
    )
    CONNECTION_FAILED = EventDefinition(
        3003,
        Severity.INFO,
        "a connection to the HTTP server {name} ended with an error: {reason}",
        "Expected when clients stop sending or disconnect during a request.",
    )
    LEADER_FOUND = EventDefinition(
        3010,
        Severity.INFO,
        "following the log of the leader at {address}:{port}",
        "None needed; frequent changes indicate an unstable leader.",
    )
    LEADER_LOST = EventDefinition(
        3011,
        Severity.WARNING,
        "no control endpoint answers as leader; problem at {address}:{port}: {problem}",
        "Check the control VMs and the network to them; flows continue through their "
        "homes.",
    )
    NO_METRICS = EventDefinition(
        3004,
        Severity.WARNING,
        "cannot serve metrics at port {port}: {reason}",
        "Choose another port; nothing else depends on the metrics.",
    )
    SOURCE_FOUND = EventDefinition(
        3013,
        Severity.INFO,
        "following the view at {address}:{port}, revision {revision}",
        "None needed; frequent changes indicate an unstable control VM.",
    )
    SOURCE_LOST = EventDefinition(
        3014,
        Severity.WARNING,
        "no view from {address}:{port}: {reason}",
        "Check the control VM and the network to it; another source is tried.",
    )
    SOURCE_STALE = EventDefinition(
        3015,
        Severity.WARNING,
        "the view at {address}:{port} is not current: revision {revision}, current for "
        "{fresh_for} s; this process has revision {own}",
        "Expected while there is no leader or a network is partitioned; another source "
        "is tried.",
    )
    LOG_NOT_APPLIED = EventDefinition(
        3012,
        Severity.WARNING,
        "the packet task did not apply a log batch within {seconds:.1f} s",
        "The balancer is overloaded; add balancers to its failure domain.",
    )
    REPORTS_DROPPED = EventDefinition(
        3020,
        Severity.WARNING,
        "dropped {count} reports: {reason}",
        "None needed if the control VMs were unreachable: homes repeat reports that "
        "have not taken effect. If the reports were refused, report a bug in wasabigw.",
    )
