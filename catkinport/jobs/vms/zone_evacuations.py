"""Follows the operator's requests to evacuate availability zones.

Nothing starts on the workers of an evacuated zone. This is apart from the drain of a
single VM before its upkeep or move: no order is given for the VMs of the zone, and they
stay where they are.
"""

import logging
from collections.abc import Iterator
from itertools import chain

from ...ports.fleet_vms import EvacuationRequests
from ...runtime import Metrics
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..workers.run import Run
from .vm_inventory import VmInventory

logger = logging.getLogger(__name__)

REPORT_SECONDS = 0.25
"""Shortest time between two reports while zones are evacuated."""

UNKNOWN_ZONE_SECONDS = 3.0
"""Time after which a zone without any worker or VM counts as unknown. A new owner has
read the lists of workers and VMs by then."""

POOL_LOG_SECONDS = 10.0
"""Time between two warnings about a pool whose workers are all in evacuated zones."""


class ZoneEvacuations:
    """The evacuated zones, with their log lines and metrics.

    The rows of the operator are the only state. An owner that takes over reads them.

    Args:
        dispatcher: jobs and workers; its `evacuated_zones` are kept up to date.
        inventory: VMs.
        requests: the operator's requests.
        metrics: metrics of the process.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        inventory: VmInventory,
        requests: EvacuationRequests,
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._requests = requests
        self._metrics = metrics
        self._requested_at_by_zone: dict[str, float] = {}
        self._begun_zones: set[str] = set()
        self._unknown_zones: set[str] = set()
        self._warned_at_by_pool: dict[str, float] = {}
        self._reported_at = float("-inf")

    def is_evacuated(self, zone: str) -> bool:
        """Return whether workers in the zone get no new tasks."""
        return self._dispatcher.is_evacuated(zone)

    def update(self, now: float) -> None:
        """Apply the requests as last read from the store, and report on them."""
        zones = self._requests.list_zones()
        if zones != self._dispatcher.evacuated_zones:
            self._apply(zones, now)
        elif not zones or now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        self._log_begun(now)
        self._warn_of_pools(now)
        n_lasting = sum(1 for _ in self.find_lasting_runs())
        self._set_gauges(len(self._begun_zones), n_lasting)

    def clear(self) -> None:
        """Set the gauges to 0, as this daemon is no longer the owner."""
        self._set_gauges(0, 0)

    def _apply(self, zones: frozenset[str], now: float) -> None:
        for zone in sorted(self._dispatcher.evacuated_zones - zones):
            n_seconds = now - self._requested_at_by_zone.pop(zone)
            if zone in self._begun_zones:
                log_event(
                    logger, "zone evacuation ends", zone=zone, seconds=round(n_seconds)
                )
            self._begun_zones.discard(zone)
            self._unknown_zones.discard(zone)
        for zone in zones - self._dispatcher.evacuated_zones:
            self._requested_at_by_zone[zone] = now
        # Workers and tables share this set, so it is changed in place.
        self._dispatcher.evacuated_zones.clear()
        self._dispatcher.evacuated_zones.update(zones)

    def _log_begun(self, now: float) -> None:
        """Log the zones that begin to have an effect, and those that have none."""
        known_zones = self._find_known_zones()
        for zone, requested_at in sorted(self._requested_at_by_zone.items()):
            if zone in self._begun_zones:
                continue
            if zone in known_zones:
                self._begin(zone)
            elif now - requested_at >= UNKNOWN_ZONE_SECONDS:
                self._note_unknown(zone)

    def _begin(self, zone: str) -> None:
        self._begun_zones.add(zone)
        workers = self._dispatcher.worker_by_id.values()
        log_event(
            logger,
            "zone evacuation begins",
            zone=zone,
            n_workers=sum(worker.listed.zone == zone for worker in workers),
            n_lasting=sum(self._zone_of(r) == zone for r in self.find_lasting_runs()),
        )

    def _note_unknown(self, zone: str) -> None:
        if zone in self._unknown_zones:
            return
        self._unknown_zones.add(zone)
        log_event(
            logger,
            "zone evacuation ignored",
            level=logging.WARNING,
            zone=zone,
            reason="unknown-zone",
        )

    def find_lasting_runs(self) -> Iterator[Run]:
        """Yield the runs of lasting tasks in evacuated zones."""
        for worker in self._dispatcher.worker_by_id.values():
            if not self.is_evacuated(worker.listed.zone):
                continue
            for run in worker.run_by_key.values():
                if run.task.step.is_lasting:
                    yield run

    def _zone_of(self, run: Run) -> str:
        return self._dispatcher.worker_by_id[run.worker_id].listed.zone

    def _find_known_zones(self) -> set[str]:
        workers = self._dispatcher.worker_by_id.values()
        return set(
            chain(
                (worker.listed.zone for worker in workers),
                (vm.zone for vm in self._inventory.vm_by_id.values()),
            )
        )

    def _warn_of_pools(self, now: float) -> None:
        """Warn of the pools in which nothing can start."""
        pools = self._find_closed_pools()
        warned = self._warned_at_by_pool
        self._warned_at_by_pool = {p: at for p, at in warned.items() if p in pools}
        for pool in sorted(pools):
            warned_at = self._warned_at_by_pool.get(pool, float("-inf"))
            if now - warned_at < POOL_LOG_SECONDS:
                continue
            self._warned_at_by_pool[pool] = now
            log_event(
                logger,
                "pool without workers outside evacuated zones",
                level=logging.WARNING,
                pool=pool,
                n_workers=sum(w.is_listed for w in self._dispatcher.workers_of(pool)),
                zones=",".join(sorted(self._begun_zones)),
            )

    def _find_closed_pools(self) -> set[str]:
        """Return the pools that have workers, all of them in evacuated zones."""
        listed = [
            w.listed for w in self._dispatcher.worker_by_id.values() if w.is_listed
        ]
        evacuated = {w.pool for w in listed if self.is_evacuated(w.zone)}
        return evacuated - {w.pool for w in listed if not self.is_evacuated(w.zone)}

    def _set_gauges(self, n_zones: int, n_lasting: int) -> None:
        self._metrics.set(
            "evacuated_zones",
            "Availability zones that are evacuated and have workers or VMs.",
            {},
            n_zones,
        )
        self._metrics.set(
            "lasting_tasks_in_evacuated_zones",
            "Runs of lasting tasks on workers of evacuated zones.",
            {},
            n_lasting,
        )
