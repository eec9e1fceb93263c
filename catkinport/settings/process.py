"""Settings of one daemon process, loaded from its own INI file."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from .checks import CheckedSection, check_text, limit_faults
from .declaration import Fault
from .environment import Operator
from .process_declaration import (
    COMMON_DECLARATIONS,
    CONTROLLER_DECLARATION,
    ENTRY_DECLARATION,
)

MIN_CLUSTER_KEY_BYTES = 32


class HiddenBytes(bytes):
    """Bytes that neither ``str`` nor ``repr`` shows, to keep them out of logs.

    Example:
        >>> HiddenBytes(b"abc")
        HiddenBytes(hidden)
    """

    def __repr__(self) -> str:
        """Return a fixed text without the bytes."""
        return "HiddenBytes(hidden)"

    __str__ = __repr__


class ProcessIdentity(NamedTuple):
    """Name and availability zone of a process."""

    name: str
    zone: str


class Addresses(NamedTuple):
    """Addresses and ports on which a process listens.

    Args:
        host: IP address to bind.
        advertised_host: IP address at which other members reach the process.
        caller_port: port of the callers' API. For this and the other ports, 0 lets
            the kernel choose a free port.
        admin_port: port of administration, health and metrics.
        peer_port: port of the gRPC service for other members.
    """

    host: str
    advertised_host: str
    caller_port: int
    admin_port: int
    peer_port: int


class PlatformSettings(NamedTuple):
    """Addresses of the platform's services as ``host:port``, and their timeout."""

    table: str
    objects: str
    vm_list: str
    timeout_seconds: float


class LoggingSettings(NamedTuple):
    """Level and format of the log."""

    level: str
    format: str


class StopSettings(NamedTuple):
    """Time limits of a graceful stop.

    Args:
        balancer_lag_seconds: how long the load balancer goes on sending requests
            after the process reports that it is not ready.
        drain_deadline_seconds: longest wait for work in flight to end.
    """

    balancer_lag_seconds: float
    drain_deadline_seconds: float


class EntryOptions(NamedTuple):
    """Options of section ``[entry]``, see ``ENTRY_DECLARATION``."""

    n_threads: int
    max_held_answer_bytes: int
    claim_batch_seconds: float
    retry_budget_fraction: float
    max_body_bytes: int


class ControllerOptions(NamedTuple):
    """Options of section ``[controller]``, see ``CONTROLLER_DECLARATION``."""

    round_seconds: float
    lease_seconds: float
    renew_seconds: float
    scan_seconds: float


class EntrySettings(NamedTuple):
    """Settings of ``catkin-entry``; ``bootstrap`` is ``None`` when not set."""

    process: ProcessIdentity
    addresses: Addresses
    platform: PlatformSettings
    cluster_key: HiddenBytes
    logging: LoggingSettings
    stop: StopSettings
    bootstrap: Operator | None
    entry: EntryOptions


class ControllerSettings(NamedTuple):
    """Settings of ``catkin-controller``; ``bootstrap`` is ``None`` when not set."""

    process: ProcessIdentity
    addresses: Addresses
    platform: PlatformSettings
    cluster_key: HiddenBytes
    logging: LoggingSettings
    stop: StopSettings
    bootstrap: Operator | None
    controller: ControllerOptions


def load_entry_settings(path: str | Path) -> EntrySettings | list[Fault]:
    """Return the settings of an entry from the file ``path``, or all their faults."""
    loaded = _load(Path(path), ENTRY_DECLARATION)
    if isinstance(loaded, list):
        return loaded
    common_fields, own_values = loaded
    return EntrySettings(**common_fields, entry=EntryOptions(**own_values))


def load_controller_settings(path: str | Path) -> ControllerSettings | list[Fault]:
    """Return the settings of a controller from ``path``, or all their faults."""
    loaded = _load(Path(path), CONTROLLER_DECLARATION)
    if isinstance(loaded, list):
        return loaded
    common_fields, own_values = loaded
    return ControllerSettings(
        **common_fields, controller=ControllerOptions(**own_values)
    )


def _load(
    path: Path, declaration
) -> tuple[dict[str, Any], Mapping[str, Any]] | list[Fault]:
    """Return the common settings and the values of the section of ``declaration``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        message = f"the settings file {path} cannot be read: {_describe_error(error)}"
        return [Fault("", "", 0, "", "a readable UTF-8 file", message)]
    checked = check_text(text, (*COMMON_DECLARATIONS, declaration))
    section_by_kind = {
        kind: sections[""]
        for kind, sections in checked.section_by_name_by_kind.items()
        if "" in sections
    }
    faults = list(checked.faults)
    cluster_key = _read_cluster_key(section_by_kind.get("cluster"), path.parent)
    bootstrap = _read_bootstrap(section_by_kind["bootstrap"])
    faults.extend(outcome for outcome in (cluster_key, bootstrap) if _is_fault(outcome))
    if declaration is CONTROLLER_DECLARATION:
        faults.extend(_check_lease(section_by_kind["controller"]))
    if faults:
        return limit_faults(faults)
    values_by_kind = {k: s.value_by_option for k, s in section_by_kind.items()}
    common_fields = {
        "process": ProcessIdentity(**values_by_kind["process"]),
        "addresses": _build_addresses(values_by_kind["addresses"]),
        "platform": PlatformSettings(**values_by_kind["platform"]),
        "cluster_key": cluster_key,
        "logging": LoggingSettings(**values_by_kind["logging"]),
        "stop": StopSettings(**values_by_kind["stop"]),
        "bootstrap": bootstrap,
    }
    return common_fields, values_by_kind[declaration.kind]


def _is_fault(outcome: object) -> bool:
    return isinstance(outcome, Fault)


def _describe_error(error: Exception) -> str:
    return getattr(error, "strerror", None) or "it is not UTF-8 text"


def _read_cluster_key(
    section: CheckedSection | None, folder: Path
) -> HiddenBytes | Fault | None:
    if section is None:
        return None
    key = section.value_by_option.get("key", "")
    key_file = section.value_by_option.get("key_file", "")
    if bool(key) == bool(key_file):
        fault = section.fault(
            "key", "either key or key_file", "exactly one must be set"
        )
        return fault._replace(value="")
    content = key.encode()
    if key_file:
        try:
            content = (folder / key_file).read_bytes().strip()
        except (OSError, ValueError) as error:
            message = f"the file cannot be read: {_describe_error(error)}"
            return section.fault("key_file", "a readable file", message)
    if len(content) < MIN_CLUSTER_KEY_BYTES:
        option = "key_file" if key_file else "key"
        allowed = f"at least {MIN_CLUSTER_KEY_BYTES} bytes"
        fault = section.fault(option, allowed, "the key is too short")
        return fault._replace(value=f"{len(content)} bytes")
    return HiddenBytes(content)


def _read_bootstrap(section: CheckedSection) -> Operator | Fault | None:
    values = section.value_by_option
    fields = [values.get(name, "") for name in ("operator", "salt", "digest")]
    if all(fields):
        return Operator(*fields)
    if any(fields):
        allowed = "operator, salt and digest, or none of them"
        return section.fault("operator", allowed, "the section is not complete")
    return None


def _check_lease(section: CheckedSection) -> list[Fault]:
    values = section.value_by_option
    lease, renew = values.get("lease_seconds"), values.get("renew_seconds")
    # A lease lasts for at least three renewal intervals, so that it doesn't expire when
    # renewals are lost.
    if lease is None or renew is None or renew * 3 <= lease:
        return []
    allowed = f"at most a third of lease_seconds ({lease / 3:g})"
    return [
        section.fault("renew_seconds", allowed, "leases could expire between renewals")
    ]


def _build_addresses(values: Mapping[str, Any]) -> Addresses:
    advertised_host = values["advertised_host"] or values["host"]
    return Addresses(**{**values, "advertised_host": advertised_host})
