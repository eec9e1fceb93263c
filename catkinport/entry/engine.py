"""The entry's actors, put together without any server or settings file."""

import threading

from . import messages
from .allowances import RESOURCE, AllowanceActor
from .application import build_application
from .claims import Claims, ClaimWriter
from .dispatch import DispatchActor
from .in_flight import InFlightCounter
from .jobs import JobDesk
from .pools import PoolsActor
from .requests import RequestForwarder
from .services import EntryServices

WAKE_SECONDS = 0.1
# Allowances are looked at on every fifth wake-up; a shortage is told at once.
WAKES_PER_TICK = 5
ACTOR_ANSWER_SECONDS = 5.0
POLL_SECONDS = 0.05


class EntryEngine:
    """Runs the request and job planes of one entry.

    Args:
        services: ports and shared objects.
    """

    def __init__(self, services: EntryServices) -> None:
        self._services = services
        self._stopped = threading.Event()
        self._dispatcher = DispatchActor.start(services, self._on_shortage)
        self._allowances = AllowanceActor.start(services, self._dispatcher)
        self._pools = PoolsActor.start(services, self._dispatcher)
        self._writer = ClaimWriter.start(services.table, services.claim_batch_seconds)
        claims = Claims(services, self._writer)
        self._forwarder = RequestForwarder(services, self._dispatcher, claims)
        self._jobs = JobDesk(services)
        self.application = InFlightCounter(
            build_application(self._forwarder, self._jobs)
        )
        services.membership.subscribe(lambda snapshot: self._pools.tell(None))
        services.membership.on_return_request(self._return_idle)
        self._pools.tell(None)
        self._ticker = threading.Thread(
            target=self._tick, name="entry-ticker", daemon=True
        )
        self._ticker.start()

    def refuse_new_work(self) -> None:
        """Refuse requests and jobs from now on as "not run"."""
        self._forwarder.is_stopping = True
        self._jobs.is_stopping = True

    def wait_until_idle(self, seconds: float) -> bool:
        """Block until nothing is in flight; return False after ``seconds``."""
        deadline = self._services.clock.now() + seconds
        while self.application.count > 0:
            if self._services.clock.now() >= deadline:
                return False
            self._services.clock.sleep(POLL_SECONDS)
        return True

    def return_allowances(self) -> None:
        """Give back all amounts, so that other entries need not wait for them."""
        self._allowances.ask(messages.ReturnAll(), timeout=ACTOR_ANSWER_SECONDS)

    def stop(self) -> None:
        """Stop the actors at once."""
        self._stopped.set()
        self._jobs.stop()
        for actor in (self._allowances, self._pools, self._writer, self._dispatcher):
            actor.stop(block=False)

    def _on_shortage(self, team: str) -> None:
        self._allowances.tell(messages.Shortage(team))

    def _return_idle(self, team: str, resource: str, wanted: int) -> int:
        if resource != RESOURCE:
            return 0
        message = messages.ReturnIdle(team, wanted)
        return self._allowances.ask(message, timeout=ACTOR_ANSWER_SECONDS)

    def _tick(self) -> None:
        n_wakes = 0
        while not self._stopped.wait(WAKE_SECONDS):
            n_wakes += 1
            self._dispatcher.tell(messages.Wake())
            if n_wakes % WAKES_PER_TICK == 0:
                self._allowances.tell(messages.Tick())
                self._pools.tell(None)
