"""Log events of the daemon's start and end, and of its telemetry."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class DaemonEvent(LogEvent):
    """Events 4000 to 4999."""

    STARTING = EventDefinition(
        4000,
        Severity.INFO,
        "wasabigw {version} starts as {role} {node} in failure domain {failure_domain}",
        "None needed.",
    )
    ENDED = EventDefinition(4001, Severity.INFO, "{node} has ended", "None needed.")
    ROLE_FAILED = EventDefinition(
        4002,
        Severity.ERROR,
        "{node} ended: {reason}",
        "Correct what the reason names and start the process again.",
    )
    SETTINGS_RELOADED = EventDefinition(
        4003,
        Severity.INFO,
        "took over changed settings",
        "None needed.",
    )
    SETTINGS_REFUSED = EventDefinition(
        4004,
        Severity.WARNING,
        "kept the settings in force, because the changed ones are wrong: {reason}",
        "Correct the settings file; it is read again within seconds.",
    )
    DATA_FOLDER_CREATED = EventDefinition(
        4010,
        Severity.INFO,
        "created the data folder {folder} for node {node}",
        "None needed.",
    )
    TOKEN_CREATED = EventDefinition(
        4011,
        Severity.INFO,
        "created the operator token file {path}",
        "Copy the file to the other VMs; all processes need the same token.",
    )
    KEY_IGNORED = EventDefinition(
        4020,
        Severity.WARNING,
        "ignored the unknown key {key} in a message of type {message}",
        "Expected while processes of two versions run; otherwise look for a sender "
        "that misspells a key. Each key is logged once.",
    )
    TRACE_FILE_FAILED = EventDefinition(
        4100,
        Severity.WARNING,
        "spans are not written to {path}: {reason}",
        "Check the path, its permissions and the free space; spans are lost until "
        "writing succeeds, packets are not affected.",
    )
    TRACE_FILE_RESUMED = EventDefinition(
        4101,
        Severity.INFO,
        "spans are written to {path} again; {lost} were lost",
        "None needed.",
    )
