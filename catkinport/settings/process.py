"""The settings of one process, from its own INI file."""

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
    """Bytes that neither ``str`` nor ``repr`` shows, so that no log holds them.

    Example:
        >>> HiddenBytes(b"abc")
        HiddenBytes(hidden)
    """

    def __repr__(self) -> str:
        """Return a text without the content."""
        return "HiddenBytes(hidden)"

    __str__ = __repr__


class ProcessIdentity(NamedTuple):
    """Name and availability zone of a process."""

    name: str
    zone: str


class Addresses(NamedTuple):
    """Where a process listens.

    Args:
        host: IP number to bind.
        advertised_host: IP number that other members use.
        caller_port: port of the callers' API; 0 lets the kernel choose, as below.
        admin_port: port of administration, health and metrics.
        peer_port: port of gRPC for peers.
    """

    host: str
    advertised_host: str
    caller_port: int
    admin_port: int
    peer_port: int


class PlatformSettings(NamedTuple):
    """Addresses of the platform's services, ``host:port``."""

    table: str
    objects: str
    vm_list: str
    timeout_seconds: float


class LoggingSettings(NamedTuple):
    """Level and format of the log."""

    level: str
    format: str


class StopSettings(NamedTuple):
    """Times of a graceful stop.

    Args:
        balancer_lag_seconds: how long the load balancer goes on sending requests
            after the process reports that it is not ready.
        drain_deadline_seconds: longest wait for what is in flight.
    """

    balancer_lag_seconds: float
    drain_deadline_seconds: float


class EntryOptions(NamedTuple):
    """Options of the entry daemon only."""

    n_threads: int
    max_held_answer_bytes: int
    claim_batch_seconds: float
    retry_budget_fraction: float
    max_body_bytes: int


class ControllerOptions(NamedTuple):
    """Options of the controller daemon only."""

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
    """Settings of ``catkin-controller``."""

    process: ProcessIdentity
    addresses: Addresses
    platform: PlatformSettings
    cluster_key: HiddenBytes
    logging: LoggingSettings
    stop: StopSettings
    bootstrap: Operator | None
    controller: ControllerOptions


def load_entry_settings(path: str | Path) -> EntrySettings | list[Fault]:
    """Read the settings of an entry from the file ``path``, or return every fault."""
    common = _load(Path(path), ENTRY_DECLARATION)
    if isinstance(common, list):
        return common
    fields, values = common
    return EntrySettings(**fields, entry=EntryOptions(**values))


def load_controller_settings(path: str | Path) -> ControllerSettings | list[Fault]:
    """Read the settings of a controller from ``path``, or return every fault."""
    common = _load(Path(path), CONTROLLER_DECLARATION)
    if isinstance(common, list):
        return common
    fields, values = common
    return ControllerSettings(**fields, controller=ControllerOptions(**values))


def _load(path: Path, own) -> tuple[dict[str, Any], Mapping[str, Any]] | list[Fault]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        message = f"the settings file {path} cannot be read: {_describe(error)}"
        return [Fault("", "", 0, "", "a readable UTF-8 file", message)]
    checked = check_text(text, (*COMMON_DECLARATIONS, own))
    section_by_kind = {
        kind: sections[""]
        for kind, sections in checked.section_by_name_by_kind.items()
        if "" in sections
    }
    faults = list(checked.faults)
    cluster_key = _read_cluster_key(section_by_kind.get("cluster"), path.parent)
    bootstrap = _read_bootstrap(section_by_kind["bootstrap"])
    faults.extend(outcome for outcome in (cluster_key, bootstrap) if _is(outcome))
    if own is CONTROLLER_DECLARATION:
        faults.extend(_check_lease(section_by_kind["controller"]))
    if faults:
        return limit_faults(faults)
    values_by_kind = {k: s.value_by_option for k, s in section_by_kind.items()}
    fields = {
        "process": ProcessIdentity(**values_by_kind["process"]),
        "addresses": _build_addresses(values_by_kind["addresses"]),
        "platform": PlatformSettings(**values_by_kind["platform"]),
        "cluster_key": cluster_key,
        "logging": LoggingSettings(**values_by_kind["logging"]),
        "stop": StopSettings(**values_by_kind["stop"]),
        "bootstrap": bootstrap,
    }
    return fields, values_by_kind[own.kind]


def _is(outcome: object) -> bool:
    return isinstance(outcome, Fault)


def _describe(error: Exception) -> str:
    return getattr(error, "strerror", None) or "it is not UTF-8 text"


def _read_cluster_key(
    section: CheckedSection | None, folder: Path
) -> HiddenBytes | Fault | None:
    if section is None:
        return None
    key = section.value_by_option.get("key", "")
    key_file = section.value_by_option.get("key_file", "")
    if bool(key) == bool(key_file):
        fault = section.fault("key", "either key or key_file", "set exactly one")
        return fault._replace(value="")
    content = key.encode()
    if key_file:
        try:
            content = (folder / key_file).read_bytes().strip()
        except (OSError, ValueError) as error:
            message = f"the file cannot be read: {_describe(error)}"
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
    # Three renewals may be lost before a lease ends.
    if lease is None or renew is None or renew * 3 <= lease:
        return []
    allowed = f"at most a third of lease_seconds ({lease / 3:g})"
    return [section.fault("renew_seconds", allowed, "leases would end in use")]


def _build_addresses(values: Mapping[str, Any]) -> Addresses:
    advertised_host = values["advertised_host"] or values["host"]
    return Addresses(**{**values, "advertised_host": advertised_host})
