"""State that the parts of an owner share: its lease, ports and asyncio tasks."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, NamedTuple

from ...policy.leadership import OwnLease
from ...policy.takeover_time import RENEWAL_FACTOR, TakeoverTime
from ...ports.advice import AdviceService, NoAdvice
from ...ports.async_table import AsyncTable
from ...ports.clock import Clock
from ...ports.fleet_vms import (
    EvacuationRequests,
    FleetVms,
    NoEvacuationRequests,
    UpkeepDesk,
)
from ...ports.fleet_workers import FleetWorkers, Rejected, Rejection
from ...ports.table import Condition
from ...runtime import Metrics
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..tables import OWNER_KEY

logger = logging.getLogger(__name__)

RETRY_SECONDS = 0.2
"""Pause after a failed call to the table service."""

CANCEL_RETRY_SECONDS = 0.05
"""Time after which a task that has not ended is canceled again."""

CANCEL_ROUNDS_PER_LOG = 20
"""Cancellations after which a log line tells that tasks have not ended."""


class OwnerPorts(NamedTuple):
    """Clients of the outside systems that an owner uses."""

    table: AsyncTable
    workers: FleetWorkers
    vms: FleetVms
    desk: UpkeepDesk
    clock: Clock
    metrics: Metrics
    evacuations: EvacuationRequests = NoEvacuationRequests()
    advice: AdviceService = NoAdvice()


class OwnerSession:
    """One period of ownership, from its claim to its end.

    Args:
        ports: outside systems.
        dispatcher: jobs and workers.
        lease: the ownership as claimed, with its fencing token.

    Attributes:
        lease: the ownership and its latest renewal.
        deposed: set once another daemon has taken over, or after an internal error.
        wake: set when there may be something to plan.
        store_wake: set when there is something to store.
        renewal_sent_at: clock time in seconds at which the latest renewal was sent.
        wants_successor: whether a daemon on a larger VM should take over.
        loaded_at: clock time in seconds at which the state was loaded; 0 before.
    """

    def __init__(
        self, ports: OwnerPorts, dispatcher: Dispatcher, lease: OwnLease
    ) -> None:
        self.ports = ports
        self.table = ports.table
        self.clock = ports.clock
        self.dispatcher = dispatcher
        self.lease = lease
        self.deposed = asyncio.Event()
        self.wake = asyncio.Event()
        self.store_wake = asyncio.Event()
        self.wants_successor = False
        self.loaded_at = 0.0
        self.renewal_sent_at = lease.renewed_at
        self._takeover_time = TakeoverTime(lease.takeover_seconds / RENEWAL_FACTOR)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_over = False
        self._is_canceling = False

    @property
    def is_resolved(self) -> bool:
        """Whether no task of a former owner can be running on an unreached worker."""
        return self.loaded_at > 0 and not self.dispatcher.unresolved_by_id

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine until the ownership ends.

        An exception in the coroutine, or a cancellation that comes out of it, ends the
        ownership. Once it has ended, the coroutine does not begin.
        """
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        if self._is_over or self.deposed.is_set():
            task.cancel()
        return task

    def cancel_all(self) -> None:
        """Cancel all tasks that `spawn` started."""
        self._is_canceling = True
        for task in list(self._tasks):
            task.cancel()

    async def end(self) -> None:
        """Cancel all tasks that `spawn` started, and wait until they have ended.

        A task that goes on after its cancellation is canceled again, so that no order
        is sent under this ownership after the call.
        """
        self._is_over = True
        n_rounds = 0
        while self._tasks:
            self.cancel_all()
            await asyncio.wait(self._tasks, timeout=CANCEL_RETRY_SECONDS)
            n_rounds += 1
            if self._tasks and n_rounds % CANCEL_ROUNDS_PER_LOG == 0:
                log_event(
                    logger,
                    "owner tasks have not ended",
                    level=logging.ERROR,
                    token=self.lease.token,
                    n_tasks=len(self._tasks),
                )

    def may_order(self) -> bool:
        """Return whether orders may be sent now under this ownership."""
        is_expired = self.lease.must_stop_renewing(self.clock.now())
        return not is_expired and not self.deposed.is_set()

    def owner_condition(self) -> Condition:
        """Return the condition for a commit that no other daemon has taken over."""
        return Condition(OWNER_KEY, self.lease.token)

    @property
    def takeover_seconds(self) -> float:
        """Time without a renewal after which successors may replace this owner."""
        return self._takeover_time.stated_seconds

    def note_renewal_sent(self, sent_at: float) -> None:
        """Record that a renewal is sent, which states `takeover_seconds`."""
        self.renewal_sent_at = sent_at
        stated_seconds = self._takeover_time.begin(sent_at)
        self.lease = self.lease._replace(
            takeover_seconds=min(self.lease.takeover_seconds, stated_seconds)
        )

    def note_renewed(self, sent_at: float) -> None:
        """Record that a renewal sent at clock time ``sent_at`` is stored.

        Renewals overlap, and the answers to them may come in another order.
        """
        takeover_seconds = self._takeover_time.end(sent_at, self.clock.now())
        if sent_at < self.lease.renewed_at:
            return
        self.lease = self.lease._replace(
            renewed_at=sent_at, takeover_seconds=takeover_seconds
        )

    def note_renewal_seen(self, sent_at: float) -> None:
        """Record that the row holds a renewal, whose answer may be late or lost."""
        if sent_at <= self.lease.renewed_at:
            return
        self.ports.metrics.increment(
            "renewals_seen",
            "Renewals of the ownership that were seen in their row before an answer.",
            {},
        )
        self.note_renewed(sent_at)

    def depose(self, reason: str) -> None:
        """End the ownership without a release, for the logged ``reason``."""
        if not self.deposed.is_set():
            log_event(logger, "ownership lost", token=self.lease.token, reason=reason)
        self.deposed.set()

    def check_fenced(self, outcome: Any) -> bool:
        """End the ownership if an order was rejected for a later fencing token.

        Returns:
            Whether it was rejected for that.
        """
        if not isinstance(outcome, Rejected) or outcome.reason is not Rejection.FENCED:
            return False
        self.depose("order-fenced")
        return True

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            self._on_task_canceled(task)
            return
        if task.exception() is None:
            return
        # After a broken invariant the remaining loops must not go on giving orders.
        logger.error("owner task failed", exc_info=task.exception())
        self.depose("internal-error")

    def _on_task_canceled(self, task: asyncio.Task[Any]) -> None:
        if self._is_canceling or self.deposed.is_set():
            return
        # Without one of its loops, an owner would keep the ownership and leave part of
        # its work undone.
        log_event(
            logger,
            "owner task canceled",
            level=logging.ERROR,
            token=self.lease.token,
            task=getattr(task.get_coro(), "__qualname__", ""),
        )
        self.depose("internal-error")
