"""Log events of the control plane: 1000 to 1999."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class ControlEvent(LogEvent):
    """Events of voters, the links between them, and operators' calls."""

    VOTER_OPENED = EventDefinition(
        1000,
        Severity.INFO,
        "voter {node} opened its data directory: revision {revision}, term {term}, "
        "admitted: {admitted}; voters in its log: {voters}",
        "None needed.",
    )
    ROLE_CHANGED = EventDefinition(
        1001,
        Severity.INFO,
        "voter {node} is {role} in term {term}; leader: {leader}",
        "Frequent changes indicate an overloaded voter or a faulty network between the "
        "voters.",
    )
    SNAPSHOT_TAKEN = EventDefinition(
        1002,
        Severity.INFO,
        "took a snapshot at revision {revision}",
        "None needed.",
    )
    SNAPSHOT_INSTALLED = EventDefinition(
        1003,
        Severity.INFO,
        "installed the leader's snapshot at revision {revision}",
        "Expected after a long disconnection or the replacement of a disk.",
    )
    VOTER_ADMITTED = EventDefinition(
        1004,
        Severity.WARNING,
        "voter {voter} was admitted with data directory {incarnation}",
        "Expected after a voter was added or its disk replaced.",
    )
    VOTER_STOPPED = EventDefinition(
        1005,
        Severity.ERROR,
        "voter {node} no longer takes part in consensus: {reason}",
        "Correct the cause and restart the process.",
    )
    NODE_AHEAD = EventDefinition(
        1006,
        Severity.ERROR,
        "balancer {node} has applied revision {applied}, but the log is committed only "
        "up to {committed}",
        "The balancer followed another cluster, or the log was lost; check the "
        "addresses of the control voters in its settings.",
    )
    PROPOSED_REPORTS = EventDefinition(
        1007,
        Severity.INFO,
        "the leader proposed reports: {reports}",
        "None needed.",
    )
    ELECTION_FAILED = EventDefinition(
        1008,
        Severity.WARNING,
        "voter {node} got {votes} of {voters} votes in term {term}; missing: {missing}",
        "No answer: check that VM and the network to it. No address: this voter can't "
        "reach it. Refused: it has a longer log or hears a leader. Not counted: its "
        "admission with its present disk is not known to be committed.",
    )
    VOTER_REMOVED = EventDefinition(
        1017,
        Severity.WARNING,
        "voter {voter} was removed at revision {revision}; voters left: {voters}",
        "Expected when a control VM stops or is lost while a standby is up; the VM is "
        "a standby once it runs again.",
    )
    STOP_READY = EventDefinition(
        1018,
        Severity.INFO,
        "voter {node} stops: {outcome} after {waited} s",
        "replaced: a standby is a voter in its place. no-standby: it is still a voter, "
        "so start it again before the next one stops. no-answer and timed-out: check "
        "that a majority of the voters is up and that a leader answers.",
    )
    STOP_WITHOUT_STANDBY = EventDefinition(
        1019,
        Severity.WARNING,
        "voter {voter} is about to stop, and no standby can take its place",
        "Expected when a control VM is restarted without a standby. Before one is "
        "taken away for good, start its successor and wait for a ready standby.",
    )
    ORDER_ANSWERED = EventDefinition(
        1010,
        Severity.INFO,
        "order {order}: {outcome} at revision {revision} after {waited} s, {detail}",
        "For no-leader and unknown, check whether a majority of the voters is up.",
    )
    DOCUMENT_READ = EventDefinition(
        1011,
        Severity.INFO,
        "configuration read: {outcome}, version {version}, after {waited} s",
        "For no-leader and unknown, check whether a majority of the voters is up.",
    )
    ANNOUNCEMENT_REFUSED = EventDefinition(
        1012,
        Severity.WARNING,
        "refused the announcement of backend server {server} at {endpoint}: "
        "configuration {version} has no service {service}",
        "Expected until the configuration that adds the service is in force; otherwise "
        "find out which process announces it.",
    )
    DOCUMENT_APPLIED = EventDefinition(
        1013,
        Severity.INFO,
        "voter {node} has configuration {version} at revision {revision}, before "
        "{before}",
        "None needed; after a restart the committed log is applied again, and the line "
        "tells when this voter knew which entries are committed.",
    )
    BOOT_TAKEN_OVER = EventDefinition(
        1014,
        Severity.INFO,
        "{server} (start {started_at}, announced before {announced_ago} s ago) gets "
        "the new flows at {endpoint}; {other} (start {other_started_at}, announced "
        "{other_announced_ago} s ago, tag {other_tag}) keeps its open ones",
        "Expected after a restart. If the other one was announced shortly before, the "
        "announcement may be a late one of a boot that has crashed; WGW-1015 tells.",
    )
    BOOT_NOT_PREFERRED = EventDefinition(
        1015,
        Severity.WARNING,
        "{server} (start {started_at}, announced before {announced_ago} s ago) "
        "announces itself at {endpoint} and gets no new flows: {other} (start "
        "{other_started_at}, announced {other_announced_ago} s ago, tag {other_tag}) "
        "is preferred",
        "A late announcement, or a clock was ahead when the other one started. If the "
        "other one is silent for a lease, WGW-1016 follows.",
    )
    BOOT_BACK_IN_USE = EventDefinition(
        1016,
        Severity.INFO,
        "{server} (start {started_at}, announced before {announced_ago} s ago) gets "
        "new flows at {endpoint} again; {other} (start {other_started_at}, announced "
        "{other_announced_ago} s ago, tag {other_tag}) keeps its open ones",
        "Find out which process announced the other one if it goes on changing.",
    )
    LINK_FAILED = EventDefinition(
        1100,
        Severity.WARNING,
        "no answer from voter {peer}: {reason}",
        "Check the voter and the network to it; the link retries.",
    )
    LINK_RECOVERED = EventDefinition(
        1101,
        Severity.INFO,
        "voter {peer} answers again",
        "None needed.",
    )
    LINK_MALFORMED = EventDefinition(
        1102,
        Severity.ERROR,
        "voter {peer} sent a malformed answer: {reason}",
        "Run the same version of wasabigw on all voters.",
    )
    REGISTRATIONS_NOT_SENT = EventDefinition(
        1103,
        Severity.WARNING,
        "registrations were not forwarded to {address}:{port}: {reason}",
        "Expected while there is no leader; backend servers repeat their "
        "announcements.",
    )
