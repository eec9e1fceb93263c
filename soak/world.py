"""The deployment of a soak: daemons that reach the store and callers by proxies."""

from verification.platform.deployment import (
    DaemonProcess,
    PlatformDeployment,
    PlatformSize,
)
from verification.processes import ProcessGroup

from .proxy import Proxy, ProxyHub


class SoakWorld:
    """Daemons, stand-in and proxies.

    Args:
        processes: group that the processes belong to.
        size: how much there is of everything.
    """

    def __init__(self, processes: ProcessGroup, size: PlatformSize) -> None:
        self.deployment = PlatformDeployment(processes, size)
        self._hub = ProxyHub()
        self.store_proxy_by_name: dict[str, Proxy] = {}
        self.caller_proxy_by_name: dict[str, Proxy] = {}

    def start(self) -> None:
        """Start everything and wait until it is ready."""
        self.deployment.start_standin()
        for number in range(self.deployment.size.n_daemons):
            name = f"entry-{number}"
            platform = self.deployment.platform_address
            self.store_proxy_by_name[name] = self._hub.open(platform)
            daemon = self.start_daemon(name)
            self.caller_proxy_by_name[name] = self._hub.open(daemon.callers)
        self.deployment.wait_until_ready()

    def start_daemon(self, name: str) -> DaemonProcess:
        """Start a daemon that reaches the platform by its proxy."""
        address = self.store_proxy_by_name[name].address
        return self.deployment.start_daemon(name, address, address)

    def list_callers(self) -> list[str]:
        """Return where callers reach the daemons that run, by proxies."""
        return [
            self.caller_proxy_by_name[name].address
            for name, daemon in self.deployment.daemon_by_name.items()
            if daemon.process.is_running and name in self.caller_proxy_by_name
        ]

    def reset(self, proxy: Proxy) -> None:
        """Reset all connections of a proxy."""
        self._hub.call(proxy.reset())

    def silence(self, proxy: Proxy) -> None:
        """Silence all open connections of a proxy for good."""
        self._hub.call(proxy.silence())

    def heal(self) -> None:
        """End every fault and start every daemon that does not run."""
        for proxy in (
            *self.store_proxy_by_name.values(),
            *self.caller_proxy_by_name.values(),
        ):
            proxy.link.heal()
        self.deployment.reset_faults()
        for name, daemon in list(self.deployment.daemon_by_name.items()):
            daemon.process.resume()
            if not daemon.process.is_running:
                self.start_daemon(name)

    def close(self) -> None:
        """Close the proxies."""
        self._hub.close()
