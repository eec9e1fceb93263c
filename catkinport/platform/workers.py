"""Client of the platform's workers: lists them, renews leases and sends orders.

A run is one attempt to execute a task on a worker. All runs of a worker share one
lease.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

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
from ..ports.table import Row
from ..runtime.logs import log_event
from . import decoding
from .client import Reply
from .order_turns import MAX_ORDERS, OrderTurns
from .worker_client import POLL_PATH, WorkerClient
from .workers_codec import (
    decode_incarnation,
    decode_lists,
    decode_rejection,
    decode_worker,
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


class _WorkerClock:
    """Estimate of a worker's clock, taken from its latest lists of runs.

    Attributes:
        started_at: Unix time in seconds at which the incarnation started that the clock
            belongs to. The clock of another one begins anew.
        known_at: clock time in seconds at which a list of that incarnation was first
            read.
    """

    def __init__(
        self, milliseconds: int, started_at: float, read_at: float, known_at: float
    ) -> None:
        self.started_at = started_at
        self.known_at = known_at
        self._milliseconds = milliseconds
        self._read_at = read_at

    def lower_bound(self, now: float) -> int:
        """Return a time in milliseconds that the worker's clock has surely reached."""
        # The clock was read before the answer arrived here, and it may run up to 2 %
        # slow, so a second counts as 980 ms.
        return self._milliseconds + int((now - self._read_at) * 980)


class _WorkerEntry(NamedTuple):
    """A worker's decoded entry, and the version of its row."""

    version: int
    worker: ListedWorker


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
        self._clock_by_worker: dict[str, _WorkerClock] = {}
        # Clock time at which the latest poll without an answer was sent.
        self._unanswered_by_worker: dict[str, float] = {}
        # Polls under way that carry a lease or an acknowledgment.
        self._incarnation_polls_by_worker: dict[
            str, set[asyncio.Task[Reply | Unavailable]]
        ]
        self._incarnation_polls_by_worker = {}
        self._entry_by_worker: dict[str, _WorkerEntry] = {}
        self._ignored_version_by_worker: dict[str, int] = {}
        self._unreadable_by_worker: dict[str, str] = {}
        self._lag_seconds = lag_seconds
        self._answer_times = AnswerTimes(MAX_ANSWER_SECONDS)
        self._turns = OrderTurns(self._answer_times.average)

    async def list_workers(self) -> list[ListedWorker] | Unavailable:
        """Read the list of workers; log and leave out entries that are malformed."""
        snapshot = await self._table.read_range("servers")
        if isinstance(snapshot, Unavailable):
            return snapshot
        workers = []
        for row in snapshot.rows:
            worker_id = row.row_key.key
            try:
                workers.append(self._decode_entry(row))
            except decoding.MessageError as error:
                if self._ignored_version_by_worker.get(worker_id) != row.version:
                    self._ignored_version_by_worker[worker_id] = row.version
                    log_event(
                        logger,
                        "worker entry ignored",
                        level=logging.WARNING,
                        worker=worker_id,
                        version=row.version,
                        reason=str(error),
                    )
        listed_ids = {worker.worker_id for worker in workers}
        for worker_id in set(self._clock_by_worker) - listed_ids:
            # A worker that is not listed may still answer; its next answer adds the
            # clock again.
            del self._clock_by_worker[worker_id]
        for worker_id in set(self._incarnation_polls_by_worker) - listed_ids:
            if not self._incarnation_polls_by_worker[worker_id]:
                del self._incarnation_polls_by_worker[worker_id]
        for worker_id in set(self._unanswered_by_worker) - listed_ids:
            del self._unanswered_by_worker[worker_id]
        for worker_id in set(self._unreadable_by_worker) - listed_ids:
            del self._unreadable_by_worker[worker_id]
        for worker_id in set(self._entry_by_worker) - listed_ids:
            del self._entry_by_worker[worker_id]
        self._answer_times.keep_only(listed_ids)
        return workers

    def _decode_entry(self, row: Row) -> ListedWorker:
        """Decode the entry of a worker, once for each version of its row.

        Raises:
            MessageError: if a field is missing or not allowed.
        """
        worker_id = row.row_key.key
        entry = self._entry_by_worker.get(worker_id)
        if entry is None or entry.version != row.version:
            worker = decode_worker(worker_id, row.value)
            entry = _WorkerEntry(row.version, worker)
            self._entry_by_worker[worker_id] = entry
            known = self._known_incarnation(worker_id)
            if known is not None and worker.started_at > known:
                self._give_up_polls(worker_id)
        return entry.worker

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
        known = self._known_incarnation(worker.worker_id)
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
            self._note_no_answer(worker.worker_id, sent_at)
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
        self._note_clock(worker.worker_id, clock, lists.started_at, sent_at)
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

    def _note_no_answer(self, worker_id: str, sent_at: float) -> None:
        """Note that a poll sent at clock time ``sent_at`` had no answer.

        It tells nothing of an incarnation that became known since.
        """
        known = self._clock_by_worker.get(worker_id)
        if known is not None and known.known_at <= sent_at:
            del self._clock_by_worker[worker_id]
        latest = self._unanswered_by_worker.get(worker_id, sent_at)
        self._unanswered_by_worker[worker_id] = max(latest, sent_at)

    def _forget_incarnation(self, worker_id: str, started_at: float) -> None:
        """Forget the clock of an incarnation that has ended, if it is the known one.

        Answers of it that are still on their way don't bring the clock back.
        """
        if self._known_incarnation(worker_id) == started_at:
            del self._clock_by_worker[worker_id]
            self._unanswered_by_worker[worker_id] = self._clock.now()
            self._give_up_polls(worker_id)

    def _give_up_polls(self, worker_id: str) -> None:
        """Give up the polls that are under way for a former incarnation.

        The connection of a call that is given up is reset, so one that is held up on
        the way does not reach the later incarnation.
        """
        for call in self._incarnation_polls_by_worker.pop(worker_id, set()):
            call.cancel()

    def _note_clock(
        self, worker_id: str, milliseconds: int, started_at: float, sent_at: float
    ) -> None:
        """Note the clock in an answer, unless it may be one of a former incarnation.

        Polls overlap. The answer to one that was sent before a later incarnation was
        known, or before a poll that had no answer, may have been written by the former
        one.

        Args:
            worker_id: the worker.
            milliseconds: what its clock showed.
            started_at: Unix time in seconds at which the incarnation started.
            sent_at: clock time in seconds at which the poll was sent.
        """
        now = self._clock.now()
        known = self._clock_by_worker.get(worker_id)
        known_at = now
        if known is not None and known.started_at == started_at:
            known_at = known.known_at
        elif known is not None and sent_at < known.known_at:
            return
        elif known is not None:
            self._give_up_polls(worker_id)
        if sent_at < self._unanswered_by_worker.get(worker_id, float("-inf")):
            return
        self._clock_by_worker[worker_id] = _WorkerClock(
            milliseconds, started_at, now, known_at
        )

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
        incarnation = self._known_incarnation(worker.worker_id)
        if incarnation is None:
            return _clock_unknown("worker-start", worker.worker_id)
        # The caller counts the lease from now on, and not from its turn.
        until = self._lease_end(worker, lease_seconds)

        def make_body() -> dict[str, Any] | None:
            # The worker may have restarted while the order waited for its turn.
            is_same = self._known_incarnation(worker.worker_id) == incarnation
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
            clock = self._clock_by_worker.get(worker.worker_id)
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

    def _known_incarnation(self, worker_id: str) -> float | None:
        """Return the start of the incarnation whose clock is known, in Unix seconds."""
        clock = self._clock_by_worker.get(worker_id)
        return clock.started_at if clock else None

    def _lease_end(self, worker: ListedWorker, lease_seconds: float) -> int | None:
        clock = self._clock_by_worker.get(worker.worker_id)
        if clock is None or lease_seconds <= 0:
            return None
        # The entry of a worker that has restarted under its id may come before its
        # first answer. On its new clock, a time of the former one is far ahead.
        entry = self._entry_by_worker.get(worker.worker_id)
        listed = entry.worker if entry else worker
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
