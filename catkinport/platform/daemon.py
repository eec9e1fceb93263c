"""Daemon of an entry VM: answers callers and, while it is the owner, runs the fleet.

The owner is the one daemon, elected by a lease row in the store, that gives orders to
workers and VMs. A claim is its successful write of that row.
"""

import asyncio
import logging
import random
import signal
from pathlib import Path

from aiohttp import web

from ..jobs.caller_commits import CallerCommits
from ..jobs.configuration import FleetConfiguration
from ..jobs.configuration_watch import ConfigurationWatch
from ..jobs.intake import Intake
from ..jobs.ownership.owner import FleetOwner
from ..jobs.ownership.ownership_watch import RETRY_SECONDS, OwnershipWatch
from ..jobs.ownership.session import OwnerPorts
from ..jobs.vms.vm_inventory import VmBounds
from ..policy.client_limits import RequestLimits
from ..policy.leadership import claim_delay_seconds
from ..runtime import BootTimeClock, Metrics
from ..runtime.background import run_until_done
from ..runtime.bounded_logs import export_dropped_lines
from ..runtime.logs import log_event
from ..runtime.loop_lag import LoopLag
from ..settings.declaration import format_fault
from .advice import PlatformAdvice
from .callers import CallerServer, ConfigurationAgeLimit
from .client import PlatformClient
from .client_gate import ClientGate
from .listener import HttpListener
from .operator_rows import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    PlatformEvacuationRequests,
    PlatformMaintenanceRequests,
    decode_configuration,
)
from .settings import DaemonSettings, load_settings
from .table import MAX_TABLE_CONNECTIONS, PlatformTable
from .vms import PlatformVms
from .worker_client import WorkerClient
from .workers import MAX_WORKER_CONNECTIONS, PlatformWorkers

logger = logging.getLogger(__name__)

MAX_CONFIGURATION_AGE_FRACTION = 0.92
"""Largest age of the configuration with which calls with a key are answered, as a
fraction of the time within which a withdrawn key must stop working. A call is checked
after it was sent, so the rest only has to cover the inaccuracy of clocks."""

STOP_MARGIN_SECONDS = 1.5
"""How long before the end of the grace period the daemon begins to close its servers,
even with calls in flight."""

ANSWER_MARGIN_SECONDS = 0.5
"""How long before the end of the grace period the calls that are still in flight are
answered with status 504."""

STOP_IDLE_SECONDS = 0.3
"""How long nothing must have been in flight before a stopping daemon exits."""

MIN_STOP_SECONDS = 2.5
"""Shortest time that a stopping daemon goes on serving. The load balancer takes 2 s to
notice that the daemon is not ready, and clients with open connections go on sending on
them for a while after that."""


class PlatformDaemon:
    """The daemon's servers and background tasks.

    Args:
        settings: checked settings.
        settings_path: file that they were read from; SIGHUP reads it again.
    """

    def __init__(self, settings: DaemonSettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = BootTimeClock()
        self._metrics = Metrics()
        self._client = PlatformClient(self._metrics, MAX_WORKER_CONNECTIONS)
        self._worker_client = WorkerClient(self._metrics, MAX_WORKER_CONNECTIONS)
        self._table_client = PlatformClient(self._metrics, MAX_TABLE_CONNECTIONS)
        table = PlatformTable(self._table_client, settings.table)
        self._configuration = ConfigurationWatch(
            table, self._clock, OPERATOR_TABLE, CONFIGURATION_KEY, decode_configuration
        )
        self._lag = LoopLag(self._metrics)
        cores = settings.processor_share * settings.processor_speed
        self._claim_delay_seconds = claim_delay_seconds(cores, settings.link_mbps)
        self._ownership_watch = OwnershipWatch(
            table,
            self._clock,
            settings.name,
            random.Random(),
            self._claim_delay_seconds,
        )
        self._ports = OwnerPorts(
            table,
            PlatformWorkers(
                self._worker_client,
                table,
                self._clock,
                lambda: self._lag.seconds,
            ),
            PlatformVms(self._client, settings.vms, settings.name),
            PlatformMaintenanceRequests(table, lambda: self._configuration.row_by_key),
            self._clock,
            self._metrics,
            PlatformEvacuationRequests(lambda: self._configuration.row_by_key),
            PlatformAdvice(self._client, settings.advice),
        )
        max_age = settings.bounds.revoked_key * MAX_CONFIGURATION_AGE_FRACTION
        self._callers = CallerServer(
            Intake(
                table,
                self._configuration.is_table_reached,
                CallerCommits(self._metrics),
            ),
            self._configuration,
            lambda: self._ownership_watch.depths,
            self._clock,
            self._metrics,
            ConfigurationAgeLimit(max_age),
        )
        self._gate = ClientGate(settings.client_bounds, metrics=self._metrics)
        self._stop = asyncio.Event()
        self._owner: FleetOwner | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the calls in flight."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._client.open()
        await self._table_client.open()
        self._configuration.add_listener(self._apply_configuration)
        host = self._settings.callers.rpartition(":")[0]
        metrics_address = f"{host}:{self._settings.metrics_port}"
        gate = self._gate
        listeners = [
            HttpListener(self._callers.handle, self._settings.callers, gate),
            HttpListener(self._answer_ready, self._settings.ready, gate),
            HttpListener(self._answer_metrics, metrics_address, gate),
        ]
        for listener in listeners:
            await listener.open()
        log_event(
            logger,
            "daemon started",
            name=self._settings.name,
            zone=self._settings.zone,
            peer=self._settings.callers,
        )
        background = [
            asyncio.ensure_future(run_until_done(name, run))
            for name, run in (
                ("configuration", self._configuration.run),
                ("ownership", self._run_ownership),
                ("queue depths", self._refresh_queue_depths),
            )
        ]
        await self._stop.wait()
        await self._drain_and_close(background, listeners)

    async def _drain_and_close(
        self, background: list[asyncio.Task[None]], listeners: list[HttpListener]
    ) -> None:
        log_event(logger, "daemon stopping", n_in_flight=self._callers.n_in_flight)
        started_at = self._clock.now()
        latest = max(0.5, self._settings.bounds.stop_grace - STOP_MARGIN_SECONDS)
        self._callers.stop(latest)
        earliest = min(MIN_STOP_SECONDS, latest)
        idle_since = started_at
        while True:
            now = self._clock.now()
            if self._callers.n_in_flight or self._owner is not None:
                idle_since = now
            if now - started_at >= latest:
                break
            is_idle = now - idle_since >= STOP_IDLE_SECONDS
            if is_idle and now - started_at >= earliest:
                break
            await asyncio.sleep(0.05)
        answer_by = started_at + self._settings.bounds.stop_grace
        answer_by -= ANSWER_MARGIN_SECONDS
        # Calls need the current configuration, so the background tasks stop after them.
        for listener in listeners:
            await listener.close(max(0.0, answer_by - self._clock.now()))
        for task in background:
            task.cancel()
        self._worker_client.close()
        await self._client.close()
        await self._table_client.close()
        log_event(logger, "daemon stopped", n_in_flight=self._callers.n_in_flight)

    def _reload(self) -> None:
        settings = load_settings(self._settings_path)
        if isinstance(settings, list):
            for fault in settings:
                log_event(
                    logger,
                    "settings not reloaded",
                    level=logging.ERROR,
                    reason=format_fault(fault),
                )
            return
        # The settings are only checked here: addresses and bounds stay as they were
        # when the process started.
        log_event(logger, "settings reloaded", is_changed=settings != self._settings)

    def _apply_configuration(self, configuration: FleetConfiguration) -> None:
        self._gate.limits = RequestLimits(
            max_header_bytes=configuration.max_header_bytes,
            max_body_bytes=configuration.max_body_bytes,
            header_seconds=configuration.header_seconds,
            idle_seconds=configuration.idle_seconds,
        )
        if self._owner is not None:
            self._owner.apply_configuration(configuration)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._callers.is_ready() else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        export_dropped_lines(self._metrics)
        self._gate.export()
        content, content_type = self._metrics.render()
        return web.Response(body=content, headers={"Content-Type": content_type})

    async def _refresh_queue_depths(self) -> None:
        """Follow the rows of the ownership while this daemon is the owner.

        They tell how many jobs wait, whether a candidate can take over, and which
        renewals are stored.
        """
        while True:
            if self._owner is not None:
                if not await self._ownership_watch.poll():
                    await asyncio.sleep(RETRY_SECONDS)
                # The ownership may have ended during the call.
                if self._owner is not None:
                    self._owner.follow_ownership(self._ownership_watch)
            else:
                await asyncio.sleep(0.2)

    async def _run_ownership(self) -> None:
        while not self._stop.is_set():
            claim = await self._ownership_watch.wait_for_claim(self._stop)
            if claim is None:
                return
            while self._configuration.current is None:
                await asyncio.sleep(0.05)
            self._owner = FleetOwner(
                self._ports,
                self._configuration.current,
                claim,
                self._vm_bounds(),
                self._settings.bounds.longest_lease,
                self._lag,
                self._claim_delay_seconds > 0,
                self._settings.looks_ahead,
            )
            try:
                await self._owner.run(self._stop)
            finally:
                self._owner = None

    def _vm_bounds(self) -> VmBounds:
        bounds = self._settings.bounds
        return VmBounds(
            upkeep=bounds.upkeep,
            move=bounds.move,
            order_gap=bounds.vm_order_gap,
        )
