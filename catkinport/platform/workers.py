"""Client of the platform's workers: lists them, renews leases and sends orders.

A run is one attempt to execute a task on a worker. All runs of a worker share one
lease.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping, Set
from typing import Any

from ..policy.answer_times import AnswerTimes
from ..ports import Reason, Unavailable
from ..ports.async_table import AsyncTable
from ..ports.clock import Clock
from ..ports.fleet_workers import (
    Done,
    ListedWorker,
    OrderOutcome,
    Rejected,
    StartOrder,
    WorkerLists,
)
from ..runtime.logs import log_event
from . import decoding
from .client import Reply
from .order_turns import MAX_ORDERS, OrderTurns
from .worker_client import POLL_PATH, WorkerClient
from .worker_clocks import WorkerClocks
from .worker_entries import WorkerEntries
from .workers_codec import (
    decode_incarnation,
    decode_lists,
    decode_rejection,
)

logger = logging.getLogger(__name__)

MAX_WORKER_CONNECTIONS = MAX_ORDERS + 4
"""Most connections to one worker, which leaves some for polls beside the orders."""

MIN_ORDER_TIMEOUT_SECONDS = 0.4
"""Lower bound of the wait for the answer to an order, which usually takes a few
milliseconds. A start without an answer is canceled, so a longer wait would only delay
its task."""

MAX_LAGGING_ORDER_SECONDS = 1.0
"""Upper bound of that wait as far as it is longer for a late event loop of this
daemon. On a VM that is too slow for the fleet, orders that are given up sooner are
repeated and make it slower still."""

MIN_HOLD_MARGIN_SECONDS = 0.6
"""Lower bound of how much longer than the requested wait a long poll may take."""

MAX_ANSWER_SECONDS = 2.5
"""Upper bound of both waits. A lease that is renewed by a call whose answer takes
longer would end before the next call arrives."""

MAX_LAG_ALLOWANCE_SECONDS = 0.6
"""Most that a late event loop of this daemon adds to the wait for an answer."""

LAG_FACTOR = 2.0
"""Multiple of the event loop's lag that is added to the wait, because both the sending
and the reading of the answer are late."""

OTHER_ID_STATUS = 421
"""Status with which a worker answers a call that is meant for another id."""

INCARNATION_HEADER = "X-Catkinport-Expect-Instance"
"""Header with the id of the worker that a call is meant for. A worker with another id,
as most have after a restart, answers with `OTHER_ID_STATUS`. The header doesn't tell
incarnations under one id apart; the connections of `WorkerClient` do."""


class PlatformWorkers:
    """Implements `ports.fleet_workers.FleetWorkers`.

    Args:
        client: HTTP client for workers.
        table: client of the store, which lists the workers.
        clock: steady clock.
        lag_seconds: returns how late the event loop of this daemon is, in seconds. That
            an answer is read late does not count against the worker.
    """

    def __init__(
        self,
        client: WorkerClient,
        table: AsyncTable,
        clock: Clock,
        lag_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._client = client
        self._table = table
        self._clock = clock
        self._clocks = WorkerClocks()
        self._entries = WorkerEntries()
        # Polls under way that carry a lease or an acknowledgment.
        self._incarnation_polls_by_worker: dict[
            str, set[asyncio.Task[Reply | Unavailable]]
        ]
        self._incarnation_polls_by_worker = {}
        self._unreadable_by_worker: dict[str, str] = {}
        self._lag_seconds = lag_seconds
        self._answer_times = AnswerTimes(MAX_ANSWER_SECONDS)
        self._turns = OrderTurns(self._answer_times.average)

    async def list_workers(self) -> list[ListedWorker] | Unavailable:
        """Read the list of workers; log and leave out entries that are malformed."""
        snapshot = await self._table.read_range("servers")
        if isinstance(snapshot, Unavailable):
            return snapshot
        for worker in self._entries.update(snapshot.rows):
            known = self._clocks.known_incarnation(worker.worker_id)
            if known is not None and worker.started_at > known:
                self._give_up_polls(worker.worker_id)
        workers = self._entries.workers
        self._keep_only({worker.worker_id for worker in workers})
        return workers

    def _keep_only(self, listed_ids: Set[str]) -> None:
        """Forget the workers that are not listed."""
        self._clocks.keep_only(listed_ids)
        for worker_id in self._incarnation_polls_by_worker.keys() - listed_ids:
            if not self._incarnation_polls_by_worker[worker_id]:
                del self._incarnation_polls_by_worker[worker_id]
        for worker_id in self._unreadable_by_worker.keys() - listed_ids:
            del self._unreadable_by_worker[worker_id]
        self._answer_times.keep_only(listed_ids)

    def bound_answer(self, worker_id: str) -> float:
        """Return how many seconds after its wait a poll of a live worker is answered.

        It follows the answers of the worker and of the others.
        """
        return self._answer_times.bound(worker_id, MIN_HOLD_MARGIN_SECONDS)

    async def renew_lease(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged_end: int,
        lease_seconds: float,
        wait_seconds: float,
    ) -> WorkerLists | Rejected | Unavailable:
        """Renew the worker's lease and read its lists of running and ended tasks.

        The lease is not renewed while the clock of the worker's present incarnation is
        unknown. It is unknown after a call without an answer, as the worker may have
        restarted under its id, and a time on the former clock could be far ahead. The
        worker answers at once then, so that the next call can renew the lease.

        Args:
            worker: the worker.
            token: fencing token of the owner.
            acknowledged_end: number of the last ended run that the caller has stored;
                the worker no longer lists it and those before it. It is not sent while
                the clock of the worker's present incarnation is unknown.
            lease_seconds: length of the lease; 0 to read the lists only.
            wait_seconds: longest wait of the worker for a run to end.

        Returns:
            The lists, or why there are none. The reason is `Reason.RESTARTED` if an
            answer names another incarnation than the known one, but has told no lists.
        """
        sent_at = self._clock.now()
        known = self._clocks.known_incarnation(worker.worker_id)
        body: dict[str, Any] = {
            "FencingToken": token,
            "LastSeen": 0 if known is None else acknowledged_end,
        }
        until = self._lease_end(worker, lease_seconds)
        if until is None:
            wait_seconds = 0.0
        else:
            body["UntilMs"] = until
        if wait_seconds > 0:
            body["WaitMs"] = int(wait_seconds * 1000)
        margin = self._answer_times.timeout(worker.worker_id, MIN_HOLD_MARGIN_SECONDS)
        timeout_seconds = wait_seconds + margin + self._lag_allowance()
        is_bound = until is not None or body["LastSeen"] > 0
        incarnation = known if is_bound else None
        reply = await self._poll(worker, body, timeout_seconds, incarnation)
        if isinstance(reply, Unavailable):
            if reply.reason is Reason.TIMEOUT:
                self._answer_times.note_timeout(worker.worker_id)
            self._clocks.note_no_answer(worker.worker_id, sent_at)
            return reply
        self._note_poll_answer(worker.worker_id, reply.wait_seconds - wait_seconds)
        if reply.status != 200:
            return decode_rejection(
                "worker-hold", worker.worker_id, reply.status, reply.body
            )
        try:
            message = decoding.mapping(reply.body, "the answer of a worker")
            lists = decode_lists(message)
            clock = decoding.integer(message, "ClockMs")
        except decoding.MessageError as error:
            outcome = self._ignore_lists(worker.worker_id, str(error))
            if known is None or decode_incarnation(reply.body) in (0.0, known):
                return outcome
            self._forget_incarnation(worker.worker_id, known)
            return outcome._replace(reason=Reason.RESTARTED)
        self._unreadable_by_worker.pop(worker.worker_id, None)
        is_restarted = self._clocks.note_clock(
            worker.worker_id, clock, lists.started_at, sent_at, self._clock.now()
        )
        if is_restarted:
            self._give_up_polls(worker.worker_id)
        return lists

    async def _poll(
        self,
        worker: ListedWorker,
        body: Mapping[str, Any],
        timeout_seconds: float,
        incarnation: float | None,
    ) -> Reply | Unavailable:
        """Send a poll; give it up once an incarnation after the one it is for is known.

        Args:
            worker: the worker.
            body: body of the call.
            timeout_seconds: longest wait for the answer.
            incarnation: start of the incarnation that the body belongs to, in Unix
                seconds; ``None`` for none.
        """
        call = asyncio.ensure_future(
            self._call(
                "worker-hold", worker, POLL_PATH, body, timeout_seconds, incarnation
            )
        )
        bound = self._incarnation_polls_by_worker.setdefault(worker.worker_id, set())
        if incarnation is not None:
            bound.add(call)
        try:
            await asyncio.wait([call])
        finally:
            call.cancel()
            bound.discard(call)
        if call.cancelled():
            detail = "the worker has restarted"
            return Unavailable(
                Reason.CONNECTION_LOST, "worker-hold", worker.worker_id, detail, True
            )
        return call.result()

    def _forget_incarnation(self, worker_id: str, started_at: float) -> None:
        """Note that an incarnation has ended."""
        now = self._clock.now()
        if self._clocks.forget_incarnation(worker_id, started_at, now):
            self._give_up_polls(worker_id)

    def _give_up_polls(self, worker_id: str) -> None:
        """Give up the polls that are under way for a former incarnation.

        The connection of a call that is given up is reset, so one that is held up on
        the way does not reach the later incarnation.
        """
        for call in self._incarnation_polls_by_worker.pop(worker_id, set()):
            call.cancel()

    def _note_poll_answer(self, worker_id: str, late_seconds: float) -> None:
        """Note an answer that came so many seconds after the requested wait.

        An answer before the end of the wait doesn't tell how long it took.
        """
        seconds = late_seconds if late_seconds >= 0 else None
        self._answer_times.note_answer(worker_id, seconds)

    def _ignore_lists(self, worker_id: str, reason: str) -> Unavailable:
        """Return that a worker's lists count as no answer; log each new reason."""
        if self._unreadable_by_worker.get(worker_id) != reason:
            self._unreadable_by_worker[worker_id] = reason
            log_event(
                logger,
                "worker lists ignored",
                level=logging.WARNING,
                worker=worker_id,
                reason=reason,
            )
        return Unavailable(
            Reason.ANSWER_TRUNCATED, "worker-hold", worker_id, reason, True
        )

    async def start(
        self, worker: ListedWorker, token: int, order: StartOrder, lease_seconds: float
    ) -> OrderOutcome:
        """Start a run.

        The clock of the worker's incarnation must be known, and the order is for this
        incarnation: it isn't sent once another one is known.
        """
        incarnation = self._clocks.known_incarnation(worker.worker_id)
        if incarnation is None:
            return _clock_unknown("worker-start", worker.worker_id)
        # The caller counts the lease from now on, and not from its turn.
        until = self._lease_end(worker, lease_seconds)

        def make_body() -> dict[str, Any] | None:
            # The worker may have restarted while the order waited for its turn.
            is_same = self._clocks.known_incarnation(worker.worker_id) == incarnation
            is_listed = self._lease_end(worker, lease_seconds) is not None
            if until is None or not is_same or not is_listed:
                return None
            body: dict[str, Any] = {
                "Task": order.task,
                "Run": order.run,
                "Spec": order.specification,
                "UntilMs": until,
                "FencingToken": token,
            }
            if order.checkpoint:
                body["Saved"] = order.checkpoint
            if order.ticket:
                body["Ticket"] = order.ticket
            return body

        return await self._send_order(
            "worker-start", worker, "/run-start", make_body, incarnation
        )

    async def stop(
        self, worker: ListedWorker, token: int, task: str, run: int
    ) -> OrderOutcome:
        """Order a worker to stop a run; ``token`` is the fencing token of the owner."""
        body = {"Task": task, "Run": run, "FencingToken": token}
        return await self._send_order("worker-stop", worker, "/run-stop", lambda: body)

    async def limit_speed(
        self, worker: ListedWorker, token: int, task: str, run: int, percent: int
    ) -> OrderOutcome:
        """Order a worker to limit a run to ``percent`` of its full speed."""
        body = {"Task": task, "Run": run, "Percent": percent, "FencingToken": token}
        return await self._send_order("worker-pace", worker, "/pace", lambda: body)

    async def _send_order(
        self,
        step: str,
        worker: ListedWorker,
        path: str,
        make_body: Callable[[], Mapping[str, Any] | None],
        incarnation: float | None = None,
    ) -> OrderOutcome:
        """Send an order in its turn.

        Args:
            step: name of the operation, for errors and metrics.
            worker: the worker.
            path: path of the call.
            make_body: returns the body once the turn has come; ``None`` if the order
                must not be sent.
            incarnation: for a start, the start of the incarnation that it is for, in
                Unix seconds; ``None`` for other orders, which are for any.
        """
        timeout_seconds = self._order_timeout(worker.worker_id)
        is_start = incarnation is not None
        if not await self._turns.begin(worker.worker_id, timeout_seconds, is_start):
            detail = f"not sent in {timeout_seconds} s"
            return Unavailable(Reason.TIMEOUT, step, worker.worker_id, detail)
        try:
            body = make_body()
            if body is None:
                return _clock_unknown(step, worker.worker_id)
            clock = self._clocks.find(worker.worker_id)
            lower_bound = clock.lower_bound(self._clock.now()) if clock else 0
            reply = await self._call(
                step, worker, path, body, timeout_seconds, incarnation
            )
        finally:
            self._turns.end(worker.worker_id)
        if isinstance(reply, Unavailable):
            if reply.reason is Reason.RESTARTED and incarnation is not None:
                self._forget_incarnation(worker.worker_id, incarnation)
            return reply
        self._answer_times.note_answer(worker.worker_id, reply.wait_seconds)
        # A worker with another id, which has the address now, has a clock of its own.
        is_same_id = reply.status != OTHER_ID_STATUS
        shows_restart = is_same_id and _shows_clock_below(reply.body, lower_bound)
        if shows_restart and clock is not None:
            self._forget_incarnation(worker.worker_id, clock.started_at)
        if reply.status == 200:
            return Done(shows_restart)
        outcome = decode_rejection(step, worker.worker_id, reply.status, reply.body)
        if isinstance(outcome, Rejected):
            return outcome._replace(shows_restart=shows_restart)
        return outcome

    def _order_timeout(self, worker_id: str) -> float:
        bound = self._answer_times.bound(worker_id, MIN_ORDER_TIMEOUT_SECONDS)
        longest = max(bound, MAX_LAGGING_ORDER_SECONDS)
        return min(bound + self._lag_allowance(), longest)

    def _lag_allowance(self) -> float:
        return min(LAG_FACTOR * self._lag_seconds(), MAX_LAG_ALLOWANCE_SECONDS)

    async def _call(
        self,
        step: str,
        worker: ListedWorker,
        path: str,
        body: Mapping[str, Any],
        timeout_seconds: float,
        incarnation: float | None,
    ) -> Reply | Unavailable:
        return await self._client.call(
            step,
            worker.worker_id,
            worker.address,
            path,
            timeout_seconds,
            body,
            {INCARNATION_HEADER: worker.worker_id},
            incarnation,
        )

    def _lease_end(self, worker: ListedWorker, lease_seconds: float) -> int | None:
        clock = self._clocks.find(worker.worker_id)
        if clock is None or lease_seconds <= 0:
            return None
        # The entry of a worker that has restarted under its id may come before its
        # first answer. On its new clock, a time of the former one is far ahead.
        listed = self._entries.find(worker.worker_id) or worker
        if listed.started_at > clock.started_at:
            return None
        return clock.lower_bound(self._clock.now()) + int(lease_seconds * 1000)


def _clock_unknown(step: str, worker_id: str) -> Unavailable:
    """Return that a call was not sent, as the clock of its incarnation is not known."""
    detail = "the clock of the worker is not known yet"
    return Unavailable(Reason.NOT_FOUND, step, worker_id, detail)


def _shows_clock_below(body: Any, lower_bound: int) -> bool:
    """Return whether an answer names a clock that has not reached ``lower_bound``.

    The clock of a later incarnation begins anew. An answer without a clock shows
    nothing.
    """
    clock = body.get("ClockMs") if isinstance(body, dict) else None
    return isinstance(clock, int) and clock < lower_bound
