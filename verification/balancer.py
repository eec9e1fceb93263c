"""Simulated load balancer of the platform: a list of the entries that are ready."""

import threading

from .deployment import Deployment

POLL_INTERVAL_SECONDS = 0.2


class Balancer:
    """Background thread that polls the readiness of all entries.

    Args:
        deployment: deployment whose entries are polled.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._addresses: list[str] = deployment.list_caller_addresses()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)

    def __enter__(self) -> "Balancer":
        """Start polling."""
        self._thread.start()
        return self

    def __exit__(self, *exception_info: object) -> None:
        """Stop polling."""
        self._stop.set()
        self._thread.join()

    def list_entries(self) -> list[str]:
        """Return the addresses of the ready entries.

        If none is ready, all running entries are returned, as a load balancer does that
        would otherwise have no target.
        """
        return self._addresses or self._deployment.list_caller_addresses()

    def _poll(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_SECONDS):
            self._addresses = self._deployment.list_ready_addresses()
