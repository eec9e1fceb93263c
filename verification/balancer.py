"""The platform's balancer as callers see it: the entries that say they are ready."""

import threading

from .deployment import Deployment

POLL_SECONDS = 0.2


class Balancer:
    """Polls the readiness of all entries in the background.

    Args:
        deployment: the deployment.
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
        """Return the addresses to send requests to.

        All entries are returned when none is ready, as a balancer does that would
        otherwise have nowhere to send a request.
        """
        return self._addresses or self._deployment.list_caller_addresses()

    def _poll(self) -> None:
        while not self._stop.wait(POLL_SECONDS):
            self._addresses = self._deployment.list_ready_addresses()
