"""Log events of balancers: 2000 to 2999."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class BalancerEvent(LogEvent):
    """Events of the packet path and of homes."""

    SOCKET_OPENED = EventDefinition(
        2000,
        Severity.INFO,
        "balancer {node} receives frames at {address}:{port}, buffer {buffer} bytes",
        "A buffer far below 4 MB loses packets in bursts; raise net.core.rmem_max.",
    )
    FIRST_VIEW = EventDefinition(
        2001,
        Severity.INFO,
        "balancer {node} has its first view at revision {revision}",
        "None needed; the balancer carries packets from now on.",
    )
    VIEW_STALE = EventDefinition(
        2002,
        Severity.WARNING,
        "the view of balancer {node} at revision {revision} is stale",
        "Packets pass the homes until the leader answers; check the control VMs.",
    )
    VIEW_FRESH = EventDefinition(
        2003,
        Severity.INFO,
        "the view of balancer {node} is fresh again at revision {revision}",
        "None needed.",
    )
    VIEW_CHANGED = EventDefinition(
        2016,
        Severity.INFO,
        "the view went from revision {before} to {revision}: {boots}; configuration "
        "{version}, out of service: {out_of_service}",
        "None needed.",
    )
    LOG_GAP = EventDefinition(
        2004,
        Severity.ERROR,
        "entry {found} of the log was received after revision {applied}",
        "The balancer polls again from its revision; if this repeats, restart it.",
    )
    SNAPSHOT_INSTALLED = EventDefinition(
        2005,
        Severity.INFO,
        "balancer {node} installed a snapshot at revision {revision}",
        "Expected after a start or a long absence; its homes are incomplete for 300 s.",
    )
    TAKEN_OUT_LOCALLY = EventDefinition(
        2006,
        Severity.WARNING,
        "failure domain {failure_domain} was taken out of service at this balancer",
        "Confirm it through the control API once the partition has healed.",
    )
    DOCUMENT_UNREADABLE = EventDefinition(
        2012,
        Severity.ERROR,
        "the declared configuration {version} can't be read: {reason}",
        "Run the same version on all VMs; the balancer keeps the configuration before.",
    )
    STORED_VIEW = EventDefinition(
        2013,
        Severity.INFO,
        "the relay begins with its stored view at revision {revision}",
        "None needed.",
    )
    NO_STORED_VIEW = EventDefinition(
        2014,
        Severity.INFO,
        "the relay has no stored view: {reason}",
        "Expected at the first start and after a disk was replaced.",
    )
    VIEW_NOT_STORED = EventDefinition(
        2015,
        Severity.WARNING,
        "the relay can't store its view: {reason}",
        "Check the disk and its free space; the relay goes on without.",
    )
    DRAINING = EventDefinition(
        2020,
        Severity.INFO,
        "{node} stops; it waits up to {seconds:.0f} s until its homes have moved",
        "None needed; flows continue through the other balancers.",
    )
    LEAVING = EventDefinition(
        2022,
        Severity.INFO,
        "{node} stops; it carries packets for up to {seconds:.1f} s until the routers "
        "use other balancers; {control_bytes} bytes for views in {ran} s",
        "None needed.",
    )
    CALLERS_AWAY = EventDefinition(
        2023,
        Severity.WARNING,
        "{node} is not ready: {failure_domain} has no backend server for most "
        "openings, and those of others don't answer; view of age {age} s",
        "Check the network between the failure domains; others serve the callers.",
    )
    CALLERS_BACK = EventDefinition(
        2024,
        Severity.INFO,
        "{node} in {failure_domain} takes callers again; view of age {age} s",
        "None needed.",
    )
    DRAIN_TIMED_OUT = EventDefinition(
        2021,
        Severity.WARNING,
        "{node} stops without having handed over all records within {seconds:.0f} s",
        "Check the control VMs; the new homes find flows by elimination.",
    )
    DRAINED = EventDefinition(
        2007,
        Severity.INFO,
        "balancer {node} has handed over its records and may stop",
        "Stop the process.",
    )
    FAILURE_DOMAIN_UNREACHABLE = EventDefinition(
        2008,
        Severity.WARNING,
        "failure domain {failure_domain} does not answer pings",
        "New flows go to other failure domains; check the network between them.",
    )
    FAILURE_DOMAIN_REACHABLE = EventDefinition(
        2009,
        Severity.INFO,
        "failure domain {failure_domain} answers pings again",
        "None needed.",
    )
    HANDOVER_LOST = EventDefinition(
        2010,
        Severity.WARNING,
        "records of {backend_server} could not be handed over to {address}:{port}: "
        "{problem}",
        "Leave the draining balancer running for 300 s if the other one is alive.",
    )
