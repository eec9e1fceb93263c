"""Connects the entry's actors; servers and settings files are left to the daemon."""

from . import messages
from .allowances import RESOURCE, AllowanceActor
from .application import build_application
from .claims import Claims, ClaimWriter
from .dispatch import DispatchActor
from .in_flight import InFlightCounter
from .jobs import JobHandler
from .pools import PoolsActor
from .requests import RequestForwarder
from .services import EntryServices
from .ticker import Ticker

# Shortages are handled at once. Each tick returns idle amounts, retries failed store
# writes and checks whether the pools have changed.
TICK_SECONDS = 0.2
ACTOR_ANSWER_SECONDS = 5.0
POLL_SECONDS = 0.05


class EntryEngine:
    """Handles the callers' requests and jobs of one entry.

    Args:
        services: ports and shared objects.
    """

    def __init__(self, services: EntryServices) -> None:
        self._services = services
        self._ticker = Ticker(services.clock, TICK_SECONDS, self._on_tick)
        self._dispatcher = DispatchActor.start(
            services, self._on_shortage, self._ticker.wake_after
        )
        self._allowances = AllowanceActor.start(services, self._dispatcher)
        self._pools = PoolsActor.start(services, self._dispatcher)
        self._writer = ClaimWriter.start(services.table, services.claim_batch_seconds)
        claims = Claims(services, self._writer)
        self._forwarder = RequestForwarder(services, self._dispatcher, claims)
        self._jobs = JobHandler(services)
        self.application = InFlightCounter(
            build_application(self._forwarder, self._jobs)
        )
        services.membership.subscribe(lambda snapshot: self._pools.tell(None))
        services.membership.set_return_request_handler(self._return_for_peer)
        self._pools.tell(None)
        self._ticker.start()

    def refuse_new_work(self) -> None:
        """Refuse requests and jobs from now on as "not run"."""
        self._forwarder.is_stopping = True
        self._jobs.is_stopping = True

    def wait_until_idle(self, seconds: float) -> bool:
        """Block until no request is in flight; return ``False`` after ``seconds``."""
        deadline = self._services.clock.now() + seconds
        while self.application.count > 0:
            if self._services.clock.now() >= deadline:
                return False
            self._services.clock.sleep(POLL_SECONDS)
        return True

    def return_allowances(self) -> None:
        """Return all allowances, so that other entries can use them at once."""
        self._allowances.ask(messages.ReturnAll(), timeout=ACTOR_ANSWER_SECONDS)

    def stop(self) -> None:
        """Stop the actors at once."""
        self._ticker.stop()
        self._jobs.stop()
        for actor in (self._allowances, self._pools, self._writer, self._dispatcher):
            actor.stop(block=False)

    def _on_shortage(self, team: str) -> None:
        self._allowances.tell(messages.Shortage(team))

    def _return_for_peer(self, team: str, resource: str, wanted: int) -> int:
        if resource != RESOURCE:
            return 0
        message = messages.ReturnForPeer(team, wanted)
        return self._allowances.ask(message, timeout=ACTOR_ANSWER_SECONDS)

    def _on_tick(self, is_period: bool) -> None:
        self._dispatcher.tell(messages.Wake())
        if is_period:
            self._allowances.tell(messages.Tick())
            self._pools.tell(None)
            self._writer.tell(messages.Tick())
