"""Log events of balancers: 2000 to 2999."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class BalancerEvent(LogEvent):
    """Events of packet forwarding, homes, views and the relay."""

    SOCKET_OPENED = EventDefinition(
        2000,
        Severity.INFO,
        "balancer {node} receives frames at {address}:{port}, receive buffer {buffer} "
        "bytes",
        "With a receive buffer far below 4 MB, packets are lost in bursts; raise "
        "net.core.rmem_max.",
    )
    FIRST_VIEW = EventDefinition(
        2001,
        Severity.INFO,
        "balancer {node} received its first view, at revision {revision}",
        "None needed; the balancer forwards packets from now on.",
    )
    VIEW_STALE = EventDefinition(
        2002,
        Severity.WARNING,
        "the view of balancer {node} at revision {revision} is stale",
        "Packets are forwarded through their homes until the leader answers; check the "
        "control VMs.",
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
        "view updated from revision {before} to {revision}: {boots}; configuration "
        "{version}, out of service: {out_of_service}; from {source}, current for "
        "{fresh_for} s",
        "If current for 0 s, the source does not know whether its view is current; "
        "other sources are polled.",
    )
    RELAY_VIEW = EventDefinition(
        2017,
        Severity.INFO,
        "relay has configuration {version} at revision {revision}, "
        "previously {before}; "
        "from {source}, current for {fresh_for} s",
        "If current for 0 s, the source does not know whether its view is current; "
        "other sources are polled.",
    )
    RELAY_STALE = EventDefinition(
        2018,
        Severity.WARNING,
        "the view of this relay is stale: configuration {version} at revision "
        "{revision}, known to be current {age} s ago",
        "No control VM answered with a current view; check whether there is a leader "
        "(WGW-1001) and the network to the control VMs.",
    )
    RELAY_FRESH = EventDefinition(
        2019,
        Severity.INFO,
        "the view of this relay is current: configuration {version} at revision "
        "{revision}, from {source}",
        "None needed.",
    )
    LOG_GAP = EventDefinition(
        2004,
        Severity.ERROR,
        "gap in the received log: entry {found} follows revision {applied}",
        "The balancer polls again from the last revision that it applied; restart it "
        "if this repeats.",
    )
    SNAPSHOT_INSTALLED = EventDefinition(
        2005,
        Severity.INFO,
        "balancer {node} installed a snapshot at revision {revision}",
        "Expected after a start or a long disconnection; its homes may lack flow "
        "records for 300 s.",
    )
    TAKEN_OUT_LOCALLY = EventDefinition(
        2006,
        Severity.WARNING,
        "failure domain {failure_domain} was taken out of service at this balancer",
        "Make the same change through the control API once the partition has healed.",
    )
    DOCUMENT_UNREADABLE = EventDefinition(
        2012,
        Severity.ERROR,
        "cannot decode version {version} of the declared configuration: {reason}",
        "Run the same version of wasabigw on all VMs; the balancer keeps the previous "
        "configuration.",
    )
    STORED_VIEW = EventDefinition(
        2013,
        Severity.INFO,
        "relay started with its stored view at revision {revision}, configuration "
        "{version}, stored {age} s ago by the wall clock",
        "None needed; the view is served, but not as a current one.",
    )
    NO_STORED_VIEW = EventDefinition(
        2014,
        Severity.INFO,
        "relay started without a stored view: {reason}",
        "Expected at the first start and after a disk was replaced.",
    )
    VIEW_NOT_STORED = EventDefinition(
        2015,
        Severity.WARNING,
        "relay cannot store its view: {reason}",
        "Check the disk and its free space; the relay continues without a stored view.",
    )
    DRAINING = EventDefinition(
        2020,
        Severity.INFO,
        "{node} is stopping; it waits up to {seconds:.0f} s for its homes to move to "
        "other balancers",
        "None needed; flows continue through the other balancers.",
    )
    LEAVING = EventDefinition(
        2022,
        Severity.INFO,
        "{node} is stopping; it forwards packets for up to {seconds:.1f} s until the "
        "routers use other balancers; {control_bytes} bytes of polls for views in "
        "{ran} s",
        "None needed.",
    )
    CALLERS_AWAY = EventDefinition(
        2023,
        Severity.WARNING,
        "{node} reports that it is not ready: {failure_domain} has no backend server "
        "for most openings, and those of other failure domains do not answer; view age "
        "{age} s",
        "Check the network between the failure domains; the routers send the callers "
        "to balancers of other failure domains.",
    )
    CALLERS_BACK = EventDefinition(
        2024,
        Severity.INFO,
        "{node} in {failure_domain} is ready for callers again; view age {age} s",
        "None needed.",
    )
    DRAIN_TIMED_OUT = EventDefinition(
        2021,
        Severity.WARNING,
        "{node} stops; it did not hand over all flow records within {seconds:.0f} s",
        "Check the control VMs; the new homes find the backend servers of the other "
        "flows by excluding candidates.",
    )
    DRAINED = EventDefinition(
        2007,
        Severity.INFO,
        "balancer {node} has handed over all flow records and can be stopped",
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
        "handover of the flow records of {backend_server} to {address}:{port} failed: "
        "{problem}",
        "Keep the draining balancer running for 300 s if the receiving one is up.",
    )
    LINK_QUEUE = EventDefinition(
        2025,
        Severity.WARNING,
        "packets wait up to {wait} s for the link of balancer {node}; {bytes} bytes "
        "wait, {replaced} retransmitted copies were left out so far",
        "Callers send more than the link carries; add balancers to the failure domain.",
    )
    LINK_IDLE = EventDefinition(
        2026,
        Severity.INFO,
        "packets no longer wait for the link of balancer {node}",
        "None needed.",
    )
    RECEIVE_BACKLOG = EventDefinition(
        2027,
        Severity.WARNING,
        "balancer {node} is behind: its receive buffer has not been empty for {wait} s",
        "Packets wait there or are lost, and callers send them again; add balancers to "
        "the failure domain.",
    )
    RECEIVE_CURRENT = EventDefinition(
        2028,
        Severity.INFO,
        "balancer {node} has caught up with its receive buffer",
        "None needed.",
    )
    LOAD_KNOWN = EventDefinition(
        2030,
        Severity.INFO,
        "balancer {node} knows the load that {balancers} other balancers report",
        "None needed; new flows are spread by these figures.",
    )
    LOAD_UNKNOWN = EventDefinition(
        2031,
        Severity.WARNING,
        "balancer {node} has had no load figures of other balancers for {age} s",
        "New flows are spread by its own flows only; check whether relays answer its "
        "polls and run a version with load figures.",
    )
    LOAD_MALFORMED = EventDefinition(
        2032,
        Severity.WARNING,
        "load figures from {source} are malformed and ignored: {reason}",
        "Views are not affected; check the version of the sender.",
    )
    LOAD_PEER_FOUND = EventDefinition(
        2033,
        Severity.INFO,
        "relay at {peer} returns its load sums, of {balancers} balancers",
        "None needed.",
    )
    LOAD_PEER_LOST = EventDefinition(
        2034,
        Severity.WARNING,
        "relay at {peer} returns no load sums: {reason}",
        "The load of its balancers is not counted until it answers; check its process "
        "and the network, and its version if the status is 404.",
    )
    SERVICE_SHORT = EventDefinition(
        2040,
        Severity.WARNING,
        "{service} is short of room by what balancer {node} knows: {cause}; an opening "
        "waits {delay} s for its request to start, its callers can bear {tolerable} s; "
        "utilization {utilization}, rejected {rejected}, figures {age} s old",
        "Less urgent openings are limited until there is room; add backend servers, or "
        "find out which of them are slow (docs/operations/overload.md).",
    )
    SERVICE_HAS_ROOM = EventDefinition(
        2041,
        Severity.INFO,
        "{service} is no longer short of room by what balancer {node} knows: {cause}; "
        "it was short for {lasted} s, an opening waits {delay} s, utilization "
        "{utilization}, figures {age} s old",
        "None needed; without current figures all openings are admitted.",
    )
    DOMAIN_SUSPECTED = EventDefinition(
        2050,
        Severity.WARNING,
        "balancer {node}: no backend server of {service} in {failure_domain} answers "
        "openings; for {ago} s, new flows go to other failure domains, apart from "
        "probes",
        "Check the backend servers of the service in that failure domain and the "
        "network to it.",
    )
    DOMAIN_TRUSTED = EventDefinition(
        2051,
        Severity.INFO,
        "balancer {node}: new flows go to the backend servers of {service} in "
        "{failure_domain} again since {ago} s, after {lasted} s",
        "None needed; if these lines repeat, a few callers may have lost their "
        "network.",
    )
    SERVER_SLOW = EventDefinition(
        2035,
        Severity.WARNING,
        "backend server {server} of {service} in {failure_domain}, tag {tag}, is slow: "
        "weight {weight} of its slots, mean time of a request {service_time} s",
        "It gets fewer new flows until it answers like the others; check its VM.",
    )
    SERVER_RECOVERED = EventDefinition(
        2036,
        Severity.INFO,
        "backend server {server} of {service} in {failure_domain}, tag {tag}, is no "
        "longer slow: weight {weight} of its slots, mean time of a request "
        "{service_time} s",
        "None needed.",
    )
    UPLOADS_LATE = EventDefinition(
        2052,
        Severity.WARNING,
        "the link of balancer {node} can't carry all uploads in time: {late} of "
        "{uploads} are late and need {wait} s of the link",
        "Callers upload more than the link carries; add balancers to the failure "
        "domain, or give this one a faster link.",
    )
    UPLOADS_IN_TIME = EventDefinition(
        2053,
        Severity.INFO,
        "the link of balancer {node} carries all uploads in time again",
        "None needed.",
    )
    FLOWS_CROSS = EventDefinition(
        2054,
        Severity.INFO,
        "balancer {node} sends {share} of the new flows of {service} to other failure "
        "domains: {in_flight} requests are in flight in its own one with {slots} slots",
        "None needed for a short time; otherwise add backend servers of the service to "
        "this failure domain.",
    )
    FLOWS_STAY = EventDefinition(
        2055,
        Severity.INFO,
        "balancer {node} keeps the new flows of {service} in its own failure domain "
        "again",
        "None needed.",
    )
