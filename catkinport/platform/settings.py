"""Settings of a daemon on the platform, read from an INI file.

The platform makes the file from a template when it deploys the daemon.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ..policy.client_limits import ClientBounds, derive_bounds
from ..runtime.logs import LOG_FORMATS
from ..settings.checks import check_text, limit_faults
from ..settings.declaration import Fault, Option, SectionDeclaration

MAX_SECONDS = 600
"""Upper bound of every time in the settings."""

MAX_MEMORY_MB = 1024 * 1024
MAX_DESCRIPTORS = 1024 * 1024


def _milliseconds_option(name: str, doc: str, default: str) -> Option:
    return Option(name, "whole", doc, default, 0, MAX_SECONDS * 1000, unit="ms")


def _seconds_option(name: str, doc: str, default: str) -> Option:
    return Option(name, "number", doc, default, 0, MAX_SECONDS, unit="seconds")


DECLARATIONS: tuple[SectionDeclaration, ...] = (
    SectionDeclaration(
        "daemon",
        "Identity of the daemon.",
        (
            Option("name", "text", "Name in logs and orders.", low=1, high=200),
            Option("zone", "text", "Availability zone.", low=1, high=200),
            Option(
                "processor_share",
                "number",
                "Share of the processor that the VM has, in cores.",
                default="1",
                low=0,
                high=1024,
            ),
            Option(
                "processor_speed",
                "number",
                "Speed of the VM's cores relative to a standard core.",
                default="1",
                low=0,
                high=1024,
            ),
            Option(
                "link_mbps",
                "number",
                "Network bandwidth of the VM.",
                default="1000",
                low=0,
                high=1000000,
                unit="Mbit/s",
            ),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "listen",
        "Where the daemon listens.",
        (
            Option("callers", "address", "Address for callers."),
            Option(
                "ready",
                "address",
                "Address of the readiness check of the load balancer.",
            ),
            Option("metrics_port", "whole", "Port of the metrics.", low=1, high=65535),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "services",
        "Services that the daemon calls.",
        (
            Option("table", "address", "The store."),
            Option(
                "vms", "address", "The service that lists, moves and maintains VMs."
            ),
            Option(
                "advice",
                "text",
                "The service that approves workers; empty for none.",
                default="",
                low=0,
                high=200,
            ),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "bounds",
        "Times that the platform guarantees or requires.",
        (
            _milliseconds_option(
                "longest_lease_ms", "Longest lease that a worker grants.", "6000"
            ),
            _milliseconds_option(
                "revoked_key_ms",
                "Longest time until a withdrawn key stops working.",
                "5000",
            ),
            _seconds_option(
                "stop_grace_seconds",
                "Time between the request to stop and the end of the process.",
                "6",
            ),
            _milliseconds_option(
                "vm_order_gap_ms",
                "Shortest time between orders of two owners for one VM.",
                "3000",
            ),
            _seconds_option(
                "upkeep_seconds", "Time that the maintenance of a VM takes.", "2"
            ),
            _seconds_option("move_seconds", "Time that a move of a VM takes.", "1.5"),
        ),
    ),
    SectionDeclaration(
        "limits",
        "Limits of the VM, and of what the daemon holds for its clients.",
        (
            Option(
                "memory_mb",
                "whole",
                "Memory of the VM; 0 if unknown.",
                "0",
                0,
                MAX_MEMORY_MB,
                unit="MB",
            ),
            Option(
                "max_fds",
                "whole",
                "Descriptors that a process of the VM may open; 0 if unknown.",
                "0",
                0,
                MAX_DESCRIPTORS,
            ),
            Option(
                "held_kb",
                "whole",
                "Most memory for requests of clients; 0 for a part of the VM's.",
                "0",
                0,
                MAX_MEMORY_MB * 1024,
                unit="KB",
            ),
            Option(
                "connections",
                "whole",
                "Most connections of clients; 0 for a part of the VM's descriptors.",
                "0",
                0,
                MAX_DESCRIPTORS,
            ),
            Option(
                "connections_per_address",
                "whole",
                "Most connections of one client address; 0 for a part of all.",
                "0",
                0,
                MAX_DESCRIPTORS,
            ),
            Option(
                "unfinished_per_address",
                "whole",
                "Most unfinished requests of one client address; 0 for a part of all "
                "connections.",
                "0",
                0,
                MAX_DESCRIPTORS,
            ),
        ),
    ),
    SectionDeclaration(
        "placement",
        "How the owner places tasks.",
        (
            Option(
                "look_ahead",
                "choice",
                "Whether room is held for large short tasks by expected ends.",
                default="false",
                choices=("false", "true"),
            ),
        ),
    ),
    SectionDeclaration(
        "logging",
        "Logs of the process.",
        (
            Option(
                "format",
                "choice",
                "Format of the log lines.",
                default="keyvalue",
                choices=LOG_FORMATS,
            ),
        ),
    ),
)


class PlatformBounds(NamedTuple):
    """Times of the section ``bounds``, in seconds."""

    longest_lease: float
    revoked_key: float
    stop_grace: float
    vm_order_gap: float
    upkeep: float
    move: float


class DaemonSettings(NamedTuple):
    """Settings of a daemon; addresses are ``host:port``.

    ``looks_ahead`` is whether placement holds room by expected ends of tasks.
    """

    name: str
    zone: str
    processor_share: float
    processor_speed: float
    link_mbps: float
    callers: str
    ready: str
    metrics_port: int
    table: str
    vms: str
    advice: str
    bounds: PlatformBounds
    client_bounds: ClientBounds
    looks_ahead: bool
    log_format: str


def _derive_client_bounds(values: Mapping[str, int]) -> ClientBounds:
    return derive_bounds(
        values["memory_mb"],
        values["max_fds"],
        held_bytes=values["held_kb"] * 1024,
        connections=values["connections"],
        connections_per_address=values["connections_per_address"],
        unfinished_per_address=values["unfinished_per_address"],
    )


def load_settings(path: Path) -> DaemonSettings | list[Fault]:
    """Read the settings file and return the settings or the faults found."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        message = f"the settings file cannot be read: {error}"
        return [Fault("", "", 0, str(path), "a readable UTF-8 file", message)]
    return parse_settings(text)


def parse_settings(text: str) -> DaemonSettings | list[Fault]:
    """Read INI text and return the settings or the faults found."""
    checked = check_text(text, DECLARATIONS)
    if checked.faults:
        return limit_faults(checked.faults)
    values: dict[str, Any] = {}
    for kind, sections in checked.section_by_name_by_kind.items():
        values[kind] = sections[""].value_by_option
    bounds = values["bounds"]
    return DaemonSettings(
        **values["daemon"],
        **values["listen"],
        **values["services"],
        bounds=PlatformBounds(
            longest_lease=bounds["longest_lease_ms"] / 1000,
            revoked_key=bounds["revoked_key_ms"] / 1000,
            stop_grace=bounds["stop_grace_seconds"],
            vm_order_gap=bounds["vm_order_gap_ms"] / 1000,
            upkeep=bounds["upkeep_seconds"],
            move=bounds["move_seconds"],
        ),
        client_bounds=_derive_client_bounds(values["limits"]),
        looks_ahead=values["placement"]["look_ahead"] == "true",
        log_format=values["logging"]["format"],
    )
