"""Test environment: daemons with proxies to the platform and from their callers."""

import time
from dataclasses import dataclass

from verification.platform.deployment import (
    DaemonProcess,
    PlatformDeployment,
    PlatformSize,
)
from verification.processes import ProcessGroup

from .proxy import Proxy, ProxyHub

RESTART_TIMEOUT_SECONDS = 10.0
"""Longest wait for the end of a daemon that is stopping; its grace period is 6 s."""


@dataclass
class Evacuation:
    """An evacuation of an availability zone.

    Args:
        zone: the zone.
        stored_at: time of the monotonic clock, in seconds, at which its row was stored.
        removed_at: time at which the removal of the row was requested; 0 before.
    """

    zone: str
    stored_at: float = 0.0
    removed_at: float = 0.0


class SoakEnvironment:
    """Daemons, simulated platform (stand-in), and a pair of proxies for each daemon.

    Args:
        processes: group that the processes belong to.
        size: number of daemons, pools and VMs.

    Attributes:
        deployment: the daemons and the stand-in.
        store_proxy_by_name: proxy to the platform of each daemon.
        caller_proxy_by_name: proxy from the callers to each daemon.
        due_restarts: names of the daemons that start again once they have ended.
        evacuations: evacuations of zones so far.
    """

    def __init__(self, processes: ProcessGroup, size: PlatformSize) -> None:
        self.deployment = PlatformDeployment(processes, size)
        self._hub = ProxyHub()
        self.store_proxy_by_name: dict[str, Proxy] = {}
        self.caller_proxy_by_name: dict[str, Proxy] = {}
        self.due_restarts: set[str] = set()
        self.evacuations: list[Evacuation] = []

    def start(self) -> None:
        """Start stand-in, proxies and daemons, and wait until they are ready."""
        self.deployment.start_standin()
        for number in range(self.deployment.size.n_daemons):
            name = f"entry-{number}"
            platform = self.deployment.platform_address
            self.store_proxy_by_name[name] = self._hub.open(platform)
            daemon = self.start_daemon(name)
            self.caller_proxy_by_name[name] = self._hub.open(daemon.caller_address)
        self.deployment.wait_until_ready()

    def start_daemon(self, name: str) -> DaemonProcess:
        """Start a daemon that reaches the platform through its proxy."""
        address = self.store_proxy_by_name[name].address
        return self.deployment.start_daemon(name, address, address)

    def request_restart(self, daemon: DaemonProcess) -> None:
        """Start a daemon once its process has ended, unless that has happened."""
        if self.deployment.daemon_by_name[daemon.name] is daemon:
            self.due_restarts.add(daemon.name)

    def restart_ended(self) -> None:
        """Start the daemons whose restart is due and whose process has ended.

        A daemon that was asked to stop goes on serving open connections for seconds.
        """
        for name in sorted(self.due_restarts):
            if not self.deployment.daemon_by_name[name].process.is_running:
                self.due_restarts.discard(name)
                self.start_daemon(name)

    def wait_for_restarts(self, seconds: float = RESTART_TIMEOUT_SECONDS) -> None:
        """Restart the daemons that are due, until there are none or time has passed."""
        deadline = time.monotonic() + seconds
        self.restart_ended()
        while self.due_restarts and time.monotonic() < deadline:
            time.sleep(0.05)
            self.restart_ended()

    def list_caller_addresses(self) -> list[str]:
        """Return the addresses of the caller proxies of the daemons that run."""
        return [
            self.caller_proxy_by_name[name].address
            for name, daemon in self.deployment.daemon_by_name.items()
            if daemon.process.is_running and name in self.caller_proxy_by_name
        ]

    def reset(self, proxy: Proxy) -> None:
        """Reset all open connections of a proxy."""
        self._hub.call(proxy.reset())

    def silence(self, proxy: Proxy) -> None:
        """Stop forwarding on all open connections of a proxy for good."""
        self._hub.call(proxy.silence())

    def heal(self) -> None:
        """End every fault, resume paused daemons and restart those that have ended.

        Returns once the daemons that are stopping have ended and are started again.
        """
        for proxy in (
            *self.store_proxy_by_name.values(),
            *self.caller_proxy_by_name.values(),
        ):
            proxy.link.heal()
        self.deployment.reset_faults()
        for name, daemon in self.deployment.daemon_by_name.items():
            daemon.process.resume()
            if not daemon.process.is_running:
                self.due_restarts.add(name)
        self.wait_for_restarts()

    def close(self) -> None:
        """Close the proxies."""
        self._hub.close()
