"""Starts the parts of the entry, and stops them in order."""

import logging
import time

from ..adapters import HttpBackendServers, HttpClient, HttpObjectStore, HttpTable
from ..administration import AdministrationContext, build_router
from ..administration.health import find_not_ready_reason
from ..membership import MembershipSettings, start_membership
from ..runtime import BootTimeClock, HttpServer, Metrics, log_event
from ..runtime.http import MAX_JSON_BODY_BYTES
from ..settings.document import parse_accepted_document
from ..settings.process import EntrySettings
from .engine import EntryEngine
from .services import EntryServices

logger = logging.getLogger(__name__)

# A configuration change blocks a thread until it is in force on all members.
N_ADMIN_THREADS = 6
N_TABLE_CONNECTIONS = 16


class EntryDaemon:
    """A running entry with its servers, membership and actors.

    Args:
        settings: settings of the process.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._is_stopping = False
        self._clock = BootTimeClock()
        self._metrics = Metrics()
        addresses = settings.addresses
        # The administration port must be bound before the member registers its
        # address, and its routes need the membership.
        self._admin_server = HttpServer(
            self._handle_admin_request,
            addresses.host,
            addresses.admin_port,
            N_ADMIN_THREADS,
            MAX_JSON_BODY_BYTES,
        )
        self._admin_router = None
        self._admin_server.start()
        _, _, admin_port = self._admin_server.address.rpartition(":")
        table = HttpTable(_client(settings, settings.platform.table))
        self._membership = start_membership(
            MembershipSettings(
                "entry",
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
        self._admin_router = build_router(
            AdministrationContext(
                self._membership,
                table,
                self._clock,
                self._metrics,
                self._check_ready,
                settings.bootstrap,
            )
        )
        self._engine = EntryEngine(self._build_services(table))
        self._server = HttpServer(
            self._engine.application,
            addresses.host,
            addresses.caller_port,
            settings.entry.n_threads,
        )
        self._server.start()

    @property
    def address(self) -> str:
        """``host:port`` of the callers' API."""
        return self._server.address

    @property
    def admin_address(self) -> str:
        """``host:port`` of administration, health and metrics."""
        return self._admin_server.address

    def stop(self) -> None:
        """Stop once the requests in flight have ended, or at the drain deadline."""
        stop = self._settings.stop
        self._is_stopping = True
        # A load balancer sends requests until it notices that the entry is not ready.
        log_event(
            logger,
            "readiness withdrawn",
            step="stop",
            seconds=stop.balancer_lag_seconds,
        )
        self._clock.sleep(stop.balancer_lag_seconds)
        self._engine.refuse_new_work()
        is_idle = self._engine.wait_until_idle(stop.drain_deadline_seconds)
        log_event(logger, "drained", step="stop", is_idle=is_idle)
        self._server.stop()
        self._engine.return_allowances()
        self._membership.leave()
        self._engine.stop()
        self._admin_server.stop()

    def _build_services(self, table: HttpTable) -> EntryServices:
        options = self._settings.entry
        return EntryServices(
            table,
            HttpObjectStore(_client(self._settings, self._settings.platform.objects)),
            self._membership,
            self._clock,
            time.time,
            self._metrics,
            self._settings.process.zone,
            lambda service: HttpBackendServers(
                self._clock, service.n_connections, service.progress_seconds
            ),
            options.max_held_answer_bytes,
            options.claim_batch_seconds,
            options.retry_budget_fraction,
            options.max_body_bytes,
        )

    def _handle_admin_request(self, environ, start_response):
        if self._admin_router is None:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        return self._admin_router(environ, start_response)

    def _check_ready(self) -> str:
        """Return why the entry is not ready, empty when it is."""
        snapshot = self._membership.snapshot()
        return find_not_ready_reason(snapshot, self._clock.now(), self._is_stopping)


def _client(settings: EntrySettings, address: str) -> HttpClient:
    return HttpClient(
        address,
        settings.process.name,
        settings.platform.timeout_seconds,
        N_TABLE_CONNECTIONS,
    )
