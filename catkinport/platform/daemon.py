"""The daemon of an entry VM: answers callers, and owns the fleet at times."""

import asyncio
import logging
import random
import signal
from pathlib import Path

from aiohttp import web

from ..jobs.configuration import FleetConfiguration
from ..jobs.configuration_watch import ConfigurationWatch
from ..jobs.intake import Intake
from ..jobs.owner import FleetOwner
from ..jobs.ownership_watch import OwnershipWatch
from ..jobs.session import OwnerPorts
from ..jobs.vm_book import VmBounds
from ..policy.leadership import claim_delay_seconds
from ..runtime import BootTimeClock, Metrics
from ..runtime.logs import log_event
from ..settings.declaration import format_fault
from .callers import CallerServer, KeyProof
from .client import PlatformClient
from .operator_rows import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    PlatformDesk,
    decode_configuration,
)
from .settings import DaemonSettings, load_settings
from .table import PlatformTable
from .vms import PlatformVms
from .workers import PlatformWorkers

logger = logging.getLogger(__name__)

KEY_PROOF_FRACTION = 0.92
"""Part of the time to withdraw a key during which calls with keys go on without a new
proof. A call is checked after it was sent, so only clocks need the rest."""

STOP_SLACK_SECONDS = 1.5
"""Time before the end of the grace at which the process ends by itself."""

STOP_QUIET_SECONDS = 0.3
"""The daemon ends once nothing has been in flight for so long."""

STOP_LINGER_SECONDS = 2.5
"""Clients with open connections send on them for a while after the load balancer has
noticed that the daemon is not ready, which takes it 2 s."""

KEEP_ALIVE_SECONDS = 75.0
"""How long an idle connection of a caller is kept."""


class PlatformDaemon:
    """Everything that runs in the process.

    Args:
        settings: checked settings.
        settings_path: where they came from, for a reload.
    """

    def __init__(self, settings: DaemonSettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = BootTimeClock()
        self._metrics = Metrics()
        self._client = PlatformClient(self._metrics)
        table = PlatformTable(self._client, settings.table)
        self._configuration = ConfigurationWatch(
            table, self._clock, OPERATOR_TABLE, CONFIGURATION_KEY, decode_configuration
        )
        cores = settings.processor_share * settings.processor_speed
        self._watch = OwnershipWatch(
            table,
            self._clock,
            settings.name,
            random.Random(),
            claim_delay_seconds(cores, settings.link_mbps),
        )
        self._ports = OwnerPorts(
            table,
            PlatformWorkers(self._client, table, self._clock, settings.advice),
            PlatformVms(self._client, settings.vms, settings.name),
            PlatformDesk(table, lambda: self._configuration.row_by_key),
            self._clock,
            self._metrics,
        )
        longest_age = settings.bounds.revoked_key * KEY_PROOF_FRACTION
        self._callers = CallerServer(
            Intake(table, self._configuration.is_table_reached),
            self._configuration,
            lambda: self._watch.depths,
            self._clock,
            self._metrics,
            KeyProof(longest_age),
        )
        self._stop = asyncio.Event()
        self._owner: FleetOwner | None = None

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is in flight."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._client.open()
        self._configuration.add_listener(self._apply_configuration)
        runners = [
            await self._listen(self._callers.handle, self._settings.callers),
            await self._listen(self._answer_ready, self._settings.ready),
        ]
        host = self._settings.callers.rpartition(":")[0]
        metrics_address = f"{host}:{self._settings.metrics_port}"
        runners.append(await self._listen(self._answer_metrics, metrics_address))
        log_event(
            logger,
            "daemon started",
            name=self._settings.name,
            zone=self._settings.zone,
            peer=self._settings.callers,
        )
        background = [
            asyncio.ensure_future(self._configuration.run()),
            asyncio.ensure_future(self._own_loop()),
            asyncio.ensure_future(self._watch_loop()),
        ]
        await self._stop.wait()
        await self._finish(background, runners)

    async def _finish(
        self, background: list[asyncio.Future[None]], runners: list[web.ServerRunner]
    ) -> None:
        log_event(logger, "daemon stopping", n_in_flight=self._callers.n_in_flight)
        self._callers.is_stopping = True
        started_at = self._clock.now()
        latest = max(0.5, self._settings.bounds.stop_grace - STOP_SLACK_SECONDS)
        earliest = min(STOP_LINGER_SECONDS, latest)
        quiet_since = started_at
        while True:
            now = self._clock.now()
            if self._callers.n_in_flight or self._owner is not None:
                quiet_since = now
            if now - started_at >= latest:
                break
            is_quiet = now - quiet_since >= STOP_QUIET_SECONDS
            if is_quiet and now - started_at >= earliest:
                break
            await asyncio.sleep(0.05)
        for task in background:
            task.cancel()
        for runner in runners:
            await runner.cleanup()
        await self._client.close()
        log_event(logger, "daemon stopped", n_in_flight=self._callers.n_in_flight)

    async def _listen(self, handler, address: str) -> web.ServerRunner:
        server = web.Server(
            handler, access_log=None, keepalive_timeout=KEEP_ALIVE_SECONDS
        )
        runner = web.ServerRunner(server, shutdown_timeout=1.0)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=512).start()
        return runner

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
        # Addresses and bounds hold for the life of the process.
        log_event(logger, "settings reloaded", is_changed=settings != self._settings)

    def _apply_configuration(self, configuration: FleetConfiguration) -> None:
        if self._owner is not None:
            self._owner.apply_configuration(configuration)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._callers.is_ready() else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        content, content_type = self._metrics.render()
        return web.Response(body=content, headers={"Content-Type": content_type})

    async def _watch_loop(self) -> None:
        """Keep the number of waiting jobs current while this daemon is the owner."""
        while True:
            if self._owner is not None:
                await self._watch.look()
            else:
                await asyncio.sleep(0.2)

    async def _own_loop(self) -> None:
        while not self._stop.is_set():
            claim = await self._watch.wait_for_claim(self._stop)
            if claim is None:
                return
            while self._configuration.current is None:
                await asyncio.sleep(0.05)
            self._owner = FleetOwner(
                self._ports,
                self._configuration.current,
                claim,
                self._vm_bounds(),
            )
            await self._owner.run(self._stop)
            self._owner = None

    def _vm_bounds(self) -> VmBounds:
        bounds = self._settings.bounds
        return VmBounds(
            upkeep=bounds.upkeep,
            move=bounds.move,
            order_gap=bounds.vm_order_gap,
        )
