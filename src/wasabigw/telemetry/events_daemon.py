"""Log events of the daemon: 4000 to 4999."""

from wasabigw.telemetry.log_events import EventDefinition, LogEvent, Severity


class DaemonEvent(LogEvent):
    """Start and end of a process, its settings, its files and unknown message keys."""

    STARTING = EventDefinition(
        4000,
        Severity.INFO,
        "wasabigw {version} starts as {role} {node} in failure domain {failure_domain}",
        "None needed.",
    )
    ENDED = EventDefinition(4001, Severity.INFO, "{node} has stopped", "None needed.")
    ROLE_FAILED = EventDefinition(
        4002,
        Severity.ERROR,
        "{node} failed: {reason}",
        "Correct the cause that the reason gives and start the process again.",
    )
    SETTINGS_RELOADED = EventDefinition(
        4003,
        Severity.INFO,
        "applied the changed settings",
        "None needed.",
    )
    SETTINGS_REFUSED = EventDefinition(
        4004,
        Severity.WARNING,
        "kept the previous settings, because the changed ones are invalid: {reason}",
        "Correct the settings file; it is read again within seconds.",
    )
    DATA_FOLDER_CREATED = EventDefinition(
        4010,
        Severity.INFO,
        "created data directory {folder} for node {node}",
        "None needed.",
    )
    TOKEN_CREATED = EventDefinition(
        4011,
        Severity.INFO,
        "created operator token file {path}",
        "Copy the file to the other VMs; all processes need the same token.",
    )
    KEY_IGNORED = EventDefinition(
        4020,
        Severity.WARNING,
        "ignored unknown key {key} in a message of type {message}",
        "Expected while processes of two versions run; otherwise look for a sender "
        "that misspells the key. Each key is logged once.",
    )
    TRACE_FILE_FAILED = EventDefinition(
        4100,
        Severity.WARNING,
        "cannot write spans to {path}: {reason}",
        "Check the path, its permissions and the free space. Spans are lost until "
        "writing succeeds; packets are not affected.",
    )
    TRACE_FILE_RESUMED = EventDefinition(
        4101,
        Severity.INFO,
        "writing spans to {path} again; {lost} spans were lost",
        "None needed.",
    )
