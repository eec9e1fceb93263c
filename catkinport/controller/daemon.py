"""Starts and stops the parts of a controller process."""

import logging
import time

from ..adapters import HttpClient, HttpObjectStore, HttpTable, HttpVmList, HttpWorkers
from ..administration.health import add_health_routes, find_not_ready_reason
from ..membership import MembershipSettings, start_membership
from ..runtime import (
    BootTimeClock,
    HttpServer,
    Metrics,
    Router,
    log_event,
)
from ..runtime.http import MAX_JSON_BODY_BYTES
from ..settings.document import parse_accepted_document
from ..settings.process import ControllerSettings
from .actors import OWNERSHIP_PERIOD_SECONDS, ControllerActor, ReleaseAll, Ticker
from .services import ParallelRunner, Services
from .timing import Timing

logger = logging.getLogger(__name__)

N_ADMIN_THREADS = 2
MAX_RELEASE_SECONDS = 10.0
"""Longest wait for the pools to be released. Without a release, other controllers take
them over once the freshness lease of this one has certainly ended."""


class ControllerDaemon:
    """Running controller: its HTTP server, its membership and its actors.

    Args:
        settings: settings of the process.
    """

    def __init__(self, settings: ControllerSettings) -> None:
        self._is_stopping = False
        self._metrics = Metrics()
        self._clock = BootTimeClock()
        addresses = settings.addresses
        self._server = HttpServer(
            self._build_router(),
            addresses.host,
            addresses.admin_port,
            N_ADMIN_THREADS,
            MAX_JSON_BODY_BYTES,
        )
        self._server.start()
        _, _, admin_port = self._server.address.rpartition(":")
        table = HttpTable(_client(settings, settings.platform.table))
        self._membership = start_membership(
            MembershipSettings(
                "controller",
                settings.process.zone,
                addresses.advertised_host,
                addresses.peer_port,
                f"{addresses.advertised_host}:{admin_port}",
                bytes(settings.cluster_key),
            ),
            table,
            self._clock,
            parse_accepted_document,
        )
        self._runner = ParallelRunner()
        services = Services(
            table,
            HttpVmList(_client(settings, settings.platform.vm_list)),
            HttpWorkers(settings.process.name),
            self._membership,
            self._clock,
            time.time,
            self._metrics,
            self._runner,
            HttpObjectStore(_client(settings, settings.platform.objects)),
            Timing(*settings.controller),
        )
        self._controller = ControllerActor.start(services)
        self._ticker = Ticker(self._controller, OWNERSHIP_PERIOD_SECONDS)
        self._ticker.start()

    @property
    def admin_address(self) -> str:
        """``host:port`` at which health and metrics are served."""
        return self._server.address

    def stop(self) -> None:
        """Release the pools, leave the membership and stop."""
        self._is_stopping = True
        n_released = self._controller.ask(ReleaseAll(), timeout=MAX_RELEASE_SECONDS)
        log_event(logger, "pools released", count=n_released)
        self._ticker.stop()
        self._controller.stop(timeout=MAX_RELEASE_SECONDS)
        self._membership.leave()
        self._runner.stop()
        self._server.stop()

    def _build_router(self) -> Router:
        router = Router()
        add_health_routes(router, self._metrics, self._check_ready)
        return router

    def _check_ready(self) -> str:
        """Return why the controller is not ready; empty when it is ready."""
        snapshot = self._membership.snapshot()
        return find_not_ready_reason(snapshot, self._clock.now(), self._is_stopping)


def _client(settings: ControllerSettings, address: str) -> HttpClient:
    timeout_seconds = settings.platform.timeout_seconds
    return HttpClient(address, settings.process.name, timeout_seconds)
