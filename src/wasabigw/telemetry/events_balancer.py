"""Log events of balancers: 2000 to 2999."""

from absl import logging

from wasabigw.telemetry.log_events import EventDefinition, LogEvent


class BalancerEvent(LogEvent):
    """Events of the packet path and of homes."""

    SOCKET_OPENED = EventDefinition(
        2000,
        logging.INFO,
        "balancer {node} receives frames at {address}:{port}, buffer {buffer} bytes",
        "A buffer far below 4 MB loses packets in bursts; raise net.core.rmem_max.",
    )
    FIRST_VIEW = EventDefinition(
        2001,
        logging.INFO,
        "balancer {node} has its first view at revision {revision}",
        "None needed; the balancer carries packets from now on.",
    )
    VIEW_STALE = EventDefinition(
        2002,
        logging.WARNING,
        "the view of balancer {node} at revision {revision} is stale",
        "Packets pass the homes until the leader answers; check the control VMs.",
    )
    VIEW_FRESH = EventDefinition(
        2003,
        logging.INFO,
        "the view of balancer {node} is fresh again at revision {revision}",
        "None needed.",
    )
    LOG_GAP = EventDefinition(
        2004,
        logging.ERROR,
        "entry {found} of the log was received after revision {applied}",
        "The balancer polls again from its revision; if this repeats, restart it.",
    )
    SNAPSHOT_INSTALLED = EventDefinition(
        2005,
        logging.INFO,
        "balancer {node} installed a snapshot at revision {revision}",
        "Expected after a start or a long absence; its homes are incomplete for 300 s.",
    )
    TAKEN_OUT_LOCALLY = EventDefinition(
        2006,
        logging.WARNING,
        "failure domain {failure_domain} was taken out of service at this balancer",
        "Confirm it through the control API once the partition has healed.",
    )
    DRAINED = EventDefinition(
        2007,
        logging.INFO,
        "balancer {node} has handed over its records and may stop",
        "Stop the process.",
    )
    FAILURE_DOMAIN_UNREACHABLE = EventDefinition(
        2008,
        logging.WARNING,
        "failure domain {failure_domain} does not answer pings",
        "New flows go to other failure domains; check the network between them.",
    )
    FAILURE_DOMAIN_REACHABLE = EventDefinition(
        2009,
        logging.INFO,
        "failure domain {failure_domain} answers pings again",
        "None needed.",
    )
