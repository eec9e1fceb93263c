"""Decodes the operator's rows: configuration, maintenance waves, zone evacuations.

A wave is a set of VMs that the operator wants maintained by a deadline.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any

from ..jobs.configuration import (
    Account,
    ApprovalTerms,
    FleetConfiguration,
    Pool,
    Queue,
)
from ..policy.resources import Resources
from ..ports.async_table import AsyncTable
from ..ports.fleet_vms import UpkeepWave
from ..ports.table import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Conflict,
    Row,
    RowKey,
    Transaction,
    Write,
)
from ..runtime.logs import log_event
from . import decoding

logger = logging.getLogger(__name__)

OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
EVACUATION_PREFIX = "evacuate/"
MAX_ZONE_BYTES = 200
DEFAULT_MAX_BODY_BYTES = 262144
DEFAULT_MAX_HEADER_BYTES = 16384
DEFAULT_HEADER_SECONDS = 3.0
DEFAULT_IDLE_SECONDS = 15.0


def decode_configuration(value: Mapping[str, Any]) -> FleetConfiguration:
    """Decode the row of the configuration.

    Raises:
        MessageError: if a field is missing or not allowed.
    """
    queues = [_decode_queue(entry) for entry in decoding.objects(value, "Routes")]
    pools = [_decode_pool(entry) for entry in decoding.objects(value, "Services")]
    accounts = [_decode_account(entry) for entry in decoding.objects(value, "Tenants")]
    account_name_by_key = {
        key: decoding.string(entry, "Name")
        for entry in decoding.objects(value, "Tenants")
        for key in decoding.strings(entry, "ApiKeys")
    }
    limits = decoding.mapping(value.get("Limits") or {}, "Limits")
    # Every request meets a limit of 0, so it stands for a limit that is not set.
    limits = {name: limit for name, limit in limits.items() if limit != 0}
    return FleetConfiguration(
        version=decoding.integer(value, "Version"),
        queue_by_name={queue.name: queue for queue in queues},
        pool_by_name={pool.name: pool for pool in pools},
        account_by_name={account.name: account for account in accounts},
        account_name_by_key=account_name_by_key,
        max_body_bytes=decoding.integer(limits, "MaxBodyBytes", DEFAULT_MAX_BODY_BYTES),
        max_header_bytes=decoding.integer(
            limits, "MaxHeaderBytes", DEFAULT_MAX_HEADER_BYTES
        ),
        header_seconds=decoding.seconds(
            limits, "HeaderTimeoutMs", DEFAULT_HEADER_SECONDS
        ),
        idle_seconds=decoding.seconds(limits, "IdleTimeoutMs", DEFAULT_IDLE_SECONDS),
    )


def decode_wave(value: Mapping[str, Any]) -> UpkeepWave:
    """Decode the row of a maintenance wave.

    Raises:
        MessageError: if a field is missing or not allowed.
    """
    return UpkeepWave(
        wave=decoding.integer(value, "Wave"),
        vm_ids=decoding.strings(value, "Machines"),
        deadline_seconds=decoding.number(value, "DeadlineS"),
        # Here a number of VMs; in the entry of a tenant the same field holds resources.
        max_down=decoding.integer(value, "Maximum"),
    )


def decode_evacuation(key: str) -> str:
    """Return the zone that a row of a zone evacuation names by its key.

    The value is not used: the presence of the row is the request.

    Raises:
        MessageError: if the key does not name a zone.
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    return decoding.check_short_string(zone, "the zone", MAX_ZONE_BYTES, min_bytes=1)


class PlatformEvacuationRequests:
    """Implements `ports.fleet_vms.EvacuationRequests` with the operator's rows.

    Args:
        rows: returns the operator's rows by key, as last read.
    """

    def __init__(self, rows: Callable[[], Mapping[str, Row]]) -> None:
        self._rows = rows
        self._undecodable_keys: set[str] = set()

    def list_zones(self) -> frozenset[str]:
        """Return the zones to evacuate; log and leave out rows without a zone."""
        rows = self._rows().values()
        zones = (self._find_zone(row) for row in rows)
        return frozenset(zone for zone in zones if zone)

    def _find_zone(self, row: Row) -> str:
        key = row.row_key.key
        if not key.startswith(EVACUATION_PREFIX):
            return ""
        try:
            return decode_evacuation(key)
        except decoding.MessageError as error:
            if key not in self._undecodable_keys:
                self._undecodable_keys.add(key)
                log_event(
                    logger,
                    "zone evacuation ignored",
                    level=logging.ERROR,
                    key=key,
                    version=row.version,
                    reason=str(error),
                )
            return ""


class PlatformMaintenanceRequests:
    """Implements `ports.fleet_vms.UpkeepDesk` with the operator's rows.

    Args:
        table: client of the store.
        rows: returns the operator's rows by key, as last read.
    """

    def __init__(
        self, table: AsyncTable, rows: Callable[[], Mapping[str, Row]]
    ) -> None:
        self._table = table
        self._rows = rows
        self._undecodable_versions: set[int] = set()
        self._status_version_by_wave: dict[int, int] = {}

    def list_waves(self) -> list[UpkeepWave]:
        """Return the requested waves; log and leave out rows that cannot be decoded."""
        waves = []
        for key, row in self._rows().items():
            if not key.startswith(WAVE_PREFIX):
                continue
            try:
                waves.append(decode_wave(row.value))
            except decoding.MessageError as error:
                if row.version not in self._undecodable_versions:
                    self._undecodable_versions.add(row.version)
                    log_event(
                        logger,
                        "maintenance wave ignored",
                        level=logging.ERROR,
                        key=key,
                        version=row.version,
                        reason=str(error),
                    )
        return waves

    async def report(self, wave: int, is_completed: bool) -> bool:
        """Write the status row of a wave; return whether it is stored.

        The row must still have the version that was last seen, as the store may carry
        out a write seconds later, after a newer one. A row that was never seen counts
        as absent. After a conflict the current version is known, and the caller decides
        again what to report.
        """
        row_key = RowKey(STATUS_TABLE, f"{WAVE_PREFIX}{wave}")
        value = {"Wave": wave, "State": "completed" if is_completed else "running"}
        version = self._status_version_by_wave.get(wave, ABSENT_VERSION)
        outcome = await self._table.commit(
            Transaction([Condition(row_key, version)], [Write(row_key, value)])
        )
        if isinstance(outcome, Committed | Conflict):
            seen = outcome.versions_by_row_key.get(row_key, version)
            self._status_version_by_wave[wave] = seen
        if isinstance(outcome, Committed):
            return True
        log_event(
            logger,
            "wave report not stored",
            wave=wave,
            completed=is_completed,
            version=version,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        return False


def _decode_queue(entry: Mapping[str, Any]) -> Queue:
    advice = entry.get("Advice")
    return Queue(
        name=decoding.string(entry, "Name"),
        host=decoding.string(entry, "Host").lower(),
        path_prefix=decoding.string(entry, "PathPrefix"),
        pool=decoding.string(entry, "Service"),
        is_open=decoding.boolean(entry, "Public"),
        priority=decoding.integer(entry, "Priority", 0),
        max_failures=decoding.integer(entry, "MaxAttempts", 0),
        stretch=decoding.number(entry, "Stretch", 1.0),
        target_seconds=decoding.seconds(entry, "TargetLatencyMs", 0.0),
        timeout_seconds=decoding.seconds(entry, "TimeoutMs", 30.0),
        approval=_decode_advice(advice) if isinstance(advice, dict) else None,
    )


def _decode_advice(entry: Mapping[str, Any]) -> ApprovalTerms:
    return ApprovalTerms(
        valid_seconds=decoding.seconds(entry, "ValidMs", 1.0),
        decide_seconds=max(0.0, decoding.seconds(entry, "DecideMs", 0.0)),
        each_seconds=max(0.0, decoding.seconds(entry, "EachMs", 0.0)),
    )


def _decode_pool(entry: Mapping[str, Any]) -> Pool:
    return Pool(
        name=decoding.string(entry, "Name"),
        forbids_overcommit=decoding.boolean(entry, "EnforcesCapacity"),
        is_spare=decoding.boolean(entry, "Spare"),
    )


def _decode_account(entry: Mapping[str, Any]) -> Account:
    limit = entry.get("Maximum")
    return Account(
        name=decoding.string(entry, "Name"),
        weight=decoding.number(entry, "Weight", 1),
        limit=decoding.resources(limit)
        if isinstance(limit, dict)
        else Resources(0, 0, 0),
    )
