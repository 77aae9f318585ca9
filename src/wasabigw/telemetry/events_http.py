"""Log events of the HTTP clients and servers of a balancer: 3000 to 3999."""

from absl import logging

from wasabigw.telemetry.log_events import EventDefinition, LogEvent


class HttpEvent(LogEvent):
    """Events of the log follower, the report sender and the balancer API."""

    SERVER_STARTED = EventDefinition(
        3000,
        logging.INFO,
        "HTTP server {name} listens on {address}:{port}",
        "None needed.",
    )
    HANDLER_FAILED = EventDefinition(
        3001,
        logging.ERROR,
        "a request handler of the HTTP API failed: {traceback}",
        "Report it as a fault of wasabigw with this text; the caller got a 500.",
    )
    MAILBOX_FULL = EventDefinition(
        3002,
        logging.WARNING,
        "a message for {mailbox} was dropped because its mailbox is full",
        "The balancer is overloaded; add balancers to its failure domain.",
    )
    CONNECTION_FAILED = EventDefinition(
        3003,
        logging.INFO,
        "a connection to the HTTP server {name} ended with an error: {reason}",
        "Expected when clients go silent or disconnect within a request.",
    )
    LEADER_FOUND = EventDefinition(
        3010,
        logging.INFO,
        "following the log of the leader at {address}:{port}",
        "None needed; frequent changes point to an unstable leader.",
    )
    LEADER_LOST = EventDefinition(
        3011,
        logging.WARNING,
        "no control endpoint answers as leader; {address}:{port}: {problem}",
        "Check the control VMs and the network to them; flows continue through homes.",
    )
    LOG_NOT_APPLIED = EventDefinition(
        3012,
        logging.WARNING,
        "the packet task has not applied a log batch within {seconds:.1f} s",
        "The balancer is overloaded; add balancers to its failure domain.",
    )
    REPORTS_DROPPED = EventDefinition(
        3020,
        logging.WARNING,
        "dropped {count} reports: {reason}",
        "None needed if the control VMs were out of reach: homes repeat reports whose "
        "effect is missing. A refusal is a fault of wasabigw.",
    )
