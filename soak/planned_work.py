"""Planned restarts, under callers that go on using their open connections.

A daemon that is asked to stop must answer every request that it has read. A caller may
have a connection open until the process is gone, and knows nothing of the restart.
"""

import http.client
import logging
import signal
import threading
import time

from catkinport.runtime.logs import log_event
from verification.platform.deployment import HOST

from .environment import SoakEnvironment

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_SECONDS = 5.0

CLOSE_SECONDS = 0.2
"""A daemon may close an idle connection while a request is on its way. A request counts
as read by the daemon if the connection has had an answer before, and ends later than
this after the request."""

PAUSE_SECONDS = 0.01
"""Pause of a caller between two requests."""

STORE_DELAY_SECONDS = 0.15
"""Delay of the store's answers, so that a request takes long enough to be in flight
when a daemon stops."""

RESTART_GAP_SECONDS = 1.5
"""Time between the restarts of two daemons; each takes 2.5 s, so they overlap."""


class HeldConnection:
    """Background thread that sends requests over one connection as long as it lasts.

    Args:
        environment: environment with the daemons.
        name: name of the daemon to call.

    Attributes:
        n_answers: number of whole answers.
        violations: requests that were read and not answered.
    """

    def __init__(self, environment: SoakEnvironment, name: str) -> None:
        self.n_answers = 0
        self.violations: list[str] = []
        self._environment = environment
        self._name = name
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._send_requests)

    def start(self) -> None:
        """Start sending requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for the thread."""
        self._stop.set()
        self._thread.join()

    def _send_requests(self) -> None:
        proxy = self._environment.caller_proxy_by_name[self._name]
        while not self._stop.is_set():
            connection = http.client.HTTPConnection(
                proxy.address, timeout=ANSWER_TIMEOUT_SECONDS
            )
            # Nobody may listen yet behind the proxy, which accepts each connection.
            is_open = self._send_request(connection, is_open=False)
            while is_open and not self._stop.wait(PAUSE_SECONDS):
                is_open = self._send_request(connection, is_open=True)
            connection.close()
            self._stop.wait(PAUSE_SECONDS)

    def _send_request(
        self, connection: http.client.HTTPConnection, is_open: bool
    ) -> bool:
        """Send one request; return whether the connection can be used again.

        Args:
            connection: connection to use.
            is_open: whether it has had an answer before.
        """
        job_id = f"{time.monotonic_ns() % 2**64:016x}"
        key = self._environment.deployment.keys[-1]
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        sent_at = time.monotonic()
        try:
            connection.request("GET", f"/queue-0/{job_id}", headers=headers)
            sent_at = time.monotonic()
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            waited_seconds = time.monotonic() - sent_at
            if is_open and waited_seconds > CLOSE_SECONDS:
                self.violations.append(
                    f"BROKEN: {job_id} at {self._name} had no answer after "
                    f"{waited_seconds:.2f} s: {error!r}"
                )
            return False
        self.n_answers += 1
        return not answer.will_close


def restart_all(environment: SoakEnvironment) -> list[str]:
    """Restart every daemon with SIGTERM while callers hold connections to all of them.

    Reloads and a change of the configuration fall into the restarts.

    Returns:
        A violation for each request that was read and not answered, and for each daemon
        that had no answer for its caller at all.
    """
    names = sorted(environment.deployment.daemon_by_name)
    callers = {name: HeldConnection(environment, name) for name in names}
    environment.deployment.set_faults(store_delay_seconds=STORE_DELAY_SECONDS)
    for caller in callers.values():
        caller.start()
    time.sleep(RESTART_GAP_SECONDS)
    for name in names:
        daemon = environment.deployment.daemon_by_name[name]
        log_event(logger, "planned restart", daemon=name)
        daemon.process.send_signal(signal.SIGHUP)
        daemon.process.send_signal(signal.SIGTERM)
        environment.request_restart(daemon)
        environment.deployment.configure()
        environment.wait_for_restarts(RESTART_GAP_SECONDS)
    environment.wait_for_restarts()
    for caller in callers.values():
        caller.stop()
    environment.deployment.reset_faults()
    violations = [text for caller in callers.values() for text in caller.violations]
    for name, caller in callers.items():
        log_event(logger, "held connection", daemon=name, n_answers=caller.n_answers)
        if not caller.n_answers:
            violations.append(f"BROKEN: {name} answered nothing over open connections")
    return violations
