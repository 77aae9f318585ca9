"""Planted faults: each removes a condition of ``core/registrations``."""

from wasabigw_verify.planted_faults import PlantedFault

_REGISTRATIONS = "wasabigw.core.registrations"

FAULTS = (
    PlantedFault(
        "silent boot is preferred",
        _REGISTRATIONS,
        "if not boot.silent and boot.started_at > report.started_at:",
        "if boot.started_at > report.started_at:",
    ),
    PlantedFault(
        "boot in use is preferred to one that started later",
        _REGISTRATIONS,
        "if not boot.silent and boot.started_at > report.started_at:",
        "if not boot.silent:",
    ),
    PlantedFault(
        "latest announcement is preferred",
        _REGISTRATIONS,
        "if not boot.silent and boot.started_at > report.started_at:",
        "if False:",
    ),
    PlantedFault(
        "superseded boot is forgotten",
        _REGISTRATIONS,
        "    registry.ended.append(replace(boot, silent=True, changed_at=revision))",
        "    registry.forgotten_at = revision",
    ),
    PlantedFault(
        "superseded boot has ended",
        _REGISTRATIONS,
        "    registry.ended.append(replace(boot, silent=True, changed_at=revision))",
        "    registry.ended.append(\n"
        "        replace(\n"
        "            boot,\n"
        "            silent=True,\n"
        "            state=RegistrationState.ENDED,\n"
        "            changed_at=revision,\n"
        "        )\n"
        "    )",
    ),
    PlantedFault(
        "late report undoes a drain",
        _REGISTRATIONS,
        "if known.state is RegistrationState.DRAINING:",
        "if False:",
    ),
    PlantedFault(
        "boot in use is forgotten",
        _REGISTRATIONS,
        "if boot.tag in forgotten and boot.silent:",
        "if boot.tag in forgotten:",
    ),
    PlantedFault(
        "silence of a former boot counts",
        _REGISTRATIONS,
        "if known is not None and known.tag == tag and not known.silent:",
        "if known is not None and not known.silent:",
    ),
    PlantedFault(
        "boot that started again counts as the same",
        _REGISTRATIONS,
        "    return (known.id, known.started_at, known.endpoint, known.service) == (\n"
        "        report.id,\n"
        "        report.started_at,\n",
        "    return (known.id, known.endpoint, known.service) == (\n"
        "        report.id,\n",
    ),
    PlantedFault(
        "boot at another endpoint counts as the same",
        _REGISTRATIONS,
        "    return (known.id, known.started_at, known.endpoint, known.service) == (\n"
        "        report.id,\n"
        "        report.started_at,\n"
        "        report.endpoint,\n",
        "    return (known.id, known.started_at, known.service) == (\n"
        "        report.id,\n"
        "        report.started_at,\n",
    ),
    PlantedFault(
        "boot of another service counts as the same",
        _REGISTRATIONS,
        "    return (known.id, known.started_at, known.endpoint, known.service) == (\n"
        "        report.id,\n"
        "        report.started_at,\n"
        "        report.endpoint,\n"
        "        report.service,\n",
        "    return (known.id, known.started_at, known.endpoint) == (\n"
        "        report.id,\n"
        "        report.started_at,\n"
        "        report.endpoint,\n",
    ),
    PlantedFault(
        "superseded boot is not taken back",
        _REGISTRATIONS,
        "known = known or _take_back(report, registry)",
        "pass",
    ),
    PlantedFault(
        "boot that held the endpoint stays in use",
        _REGISTRATIONS,
        "    if holder is not None:\n        mark_boot_silent(",
        "    if False:\n        mark_boot_silent(",
    ),
)
