"""HTTP client for workers, whose calls reach the incarnation they are made for.

A call names its worker by the id only, and a worker may start again under its id. A
connection ends with the process that has accepted it, however. So the first call on
each carries nothing of any incarnation, and its answer names the one at the other end.
What is meant for an incarnation is sent on its connections only.
"""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..ports import Reason, Unavailable
from ..ports.fleet_workers import Rejected
from ..runtime import Metrics
from .client import KEEP_ALIVE_SECONDS, CallMetrics, Reply, decode_reply
from .connect_timeouts import ConnectTimeouts
from .worker_channel import WorkerChannel
from .workers_codec import decode_incarnation, decode_rejection

POLL_PATH = "/hold"
"""Path of the call that lists the runs of a worker and names its incarnation."""

SWEEP_SECONDS = 1.0
"""Time between two searches for connections that have been idle for too long."""


class _Endpoint(NamedTuple):
    """A worker's id and its address (``host:port``)."""

    worker_id: str
    peer: str


class _Channels:
    """Connections to one endpoint.

    Args:
        max_calls: most calls at a time.

    Attributes:
        idle: connections without a call, that of the latest call last.
        n_calls: calls that are under way or wait for their turn.
        turns: turns of the calls.
    """

    def __init__(self, max_calls: int) -> None:
        self.idle: list[WorkerChannel] = []
        self.n_calls = 0
        self.turns = asyncio.Semaphore(max_calls)

    def take(self, incarnation: float | None) -> WorkerChannel | None:
        """Take an idle connection.

        Connections to incarnations before are closed. One that has not told where it
        leads is taken if there is no other.

        Args:
            incarnation: start of the incarnation that it must lead to, in Unix seconds;
                ``None`` for that of the latest incarnation.
        """
        self.idle = [channel for channel in self.idle if channel.is_open]
        wanted = incarnation
        if wanted is None:
            wanted = max((channel.incarnation for channel in self.idle), default=0.0)
        for channel in self.idle:
            if 0 < channel.incarnation < wanted:
                channel.abort()
        self.idle = [channel for channel in self.idle if channel.is_open]
        for sought in (wanted, 0.0):
            for number in reversed(range(len(self.idle))):
                if self.idle[number].incarnation == sought:
                    return self.idle.pop(number)
        return None

    def close_ended(self, incarnation: float, before: float) -> None:
        """Close connections to an incarnation that has ended or gone silent.

        Args:
            incarnation: its start in Unix seconds.
            before: time of the event loop in seconds; a connection that has carried a
                call since then stays.
        """
        for channel in self.idle:
            if channel.incarnation == incarnation and channel.idle_since < before:
                channel.abort()
        self.idle = [channel for channel in self.idle if channel.is_open]

    def close_idle(self, before: float) -> None:
        """Close connections that have been idle since ``before``, in loop seconds."""
        for channel in self.idle:
            if channel.idle_since < before:
                channel.abort()
        self.idle = [channel for channel in self.idle if channel.is_open]


class WorkerClient:
    """Calls workers.

    Every failure becomes an `Unavailable` that names the step and the peer, and says
    whether the call may have been carried out. The connection of a call that is given
    up is reset.

    Args:
        metrics: metrics of the process.
        max_calls_per_worker: most calls to one worker at a time. Further ones wait for
            their turn within their timeout.
    """

    def __init__(self, metrics: Metrics, max_calls_per_worker: int) -> None:
        self._call_metrics = CallMetrics(metrics)
        self._max_calls_per_worker = max_calls_per_worker
        self._connect_timeouts = ConnectTimeouts()
        self._channels_by_endpoint: dict[_Endpoint, _Channels] = {}
        self._next_sweep: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Close the connections that carry no call."""
        if self._next_sweep is not None:
            self._next_sweep.cancel()
            self._next_sweep = None
        for channels in self._channels_by_endpoint.values():
            channels.close_idle(float("inf"))

    async def call(
        self,
        step: str,
        worker_id: str,
        peer: str,
        path: str,
        timeout_seconds: float,
        body: Mapping[str, Any],
        headers: Mapping[str, str],
        incarnation: float | None = None,
    ) -> Reply | Unavailable:
        """Call a worker once, with the method POST.

        Args:
            step: name of the operation, for errors and metrics.
            worker_id: id of the worker.
            peer: ``host:port``.
            path: path of the call.
            timeout_seconds: longest wait for the answer. The wait for a connection and
                for the first answer on it comes before.
            body: value sent as JSON, with the fencing token.
            headers: additional headers.
            incarnation: start of the incarnation that the call is made for, in Unix
                seconds; ``None`` for a call that may reach any.

        Returns:
            The reply, whatever its status, or why there is none. The reason is
            `Reason.RESTARTED` if another incarnation than the wanted one has answered;
            the call was not sent then.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        endpoint = _Endpoint(worker_id, peer)
        channels = self._find_channels(endpoint)
        channels.n_calls += 1
        call = _Call(step, endpoint, path, timeout_seconds, body, headers, incarnation)
        try:
            outcome = await self._call_in_turn(call, channels)
        finally:
            channels.n_calls -= 1
        self._call_metrics.note(step, outcome, loop.time() - started_at)
        self._plan_sweep()
        return outcome

    async def _call_in_turn(
        self, call: "_Call", channels: _Channels
    ) -> Reply | Unavailable:
        try:
            async with asyncio.timeout(call.timeout_seconds):
                await channels.turns.acquire()
        except TimeoutError:
            return call.fail(Reason.TIMEOUT, "too many calls to the worker")
        try:
            return await self._call(call, channels)
        finally:
            channels.turns.release()

    async def _call(self, call: "_Call", channels: _Channels) -> Reply | Unavailable:
        channel = channels.take(call.incarnation) or await self._connect(call)
        if isinstance(channel, Unavailable):
            return channel
        try:
            return await self._call_on(channel, call, channels)
        except BaseException:
            # A call may be canceled in the moment its answer has arrived.
            channel.abort()
            raise

    async def _call_on(
        self, channel: WorkerChannel, call: "_Call", channels: _Channels
    ) -> Reply | Unavailable:
        is_bound = call.path != POLL_PATH or call.incarnation is not None
        if is_bound and not channel.incarnation:
            refusal = await self._identify(channel, call)
            if refusal is not None:
                _release(channel, channels)
                return refusal
        sent_at = asyncio.get_running_loop().time()
        reply = await self._send(channel, call)
        if _shows_end_of_connections(call, reply):
            # The ends of the others may not have arrived, for instance if the worker
            # was cut off as it restarted, or they may have gone silent too. Each would
            # cost another call.
            channels.close_ended(channel.incarnation, sent_at)
        _note_incarnation(channel, reply)
        _release(channel, channels)
        return reply

    async def _connect(self, call: "_Call") -> WorkerChannel | Unavailable:
        peer = call.endpoint.peer
        host, _, port = peer.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeouts.seconds(peer)):
                _, channel = await loop.create_connection(
                    WorkerChannel, host, int(port)
                )
        except TimeoutError:
            self._connect_timeouts.on_timeout(peer)
            return call.fail(Reason.CONNECT_FAILED, "no connection in time")
        except (OSError, ValueError, OverflowError) as error:
            # The address is a text of the worker's entry, which may be malformed.
            return call.fail(Reason.CONNECT_FAILED, str(error))
        return channel

    async def _identify(
        self, channel: WorkerChannel, call: "_Call"
    ) -> Reply | Unavailable | None:
        """Find out which incarnation has accepted a connection.

        Returns:
            ``None`` if it is the wanted one, else the outcome of the call, which must
            not be sent.
        """
        poll = call.make_poll()
        reply = await self._send(channel, poll)
        _note_incarnation(channel, reply)
        if isinstance(reply, Unavailable):
            return reply._replace(may_have_committed=False)
        if reply.status != 200:
            outcome = decode_rejection(
                call.step, call.endpoint.worker_id, reply.status, reply.body
            )
            if isinstance(outcome, Rejected):
                return reply
            return outcome._replace(may_have_committed=False)
        if not channel.incarnation:
            return call.fail(Reason.ANSWER_TRUNCATED, "no incarnation in the answer")
        if call.incarnation in (None, channel.incarnation):
            return None
        return call.fail(Reason.RESTARTED, "another incarnation has answered")

    async def _send(self, channel: WorkerChannel, call: "_Call") -> Reply | Unavailable:
        """Send a call on a connection, and wait for the answer."""
        peer = call.endpoint.peer
        if not channel.is_open:
            # The answer before may have ended it.
            return call.fail(Reason.CONNECTION_LOST, "the connection has ended")
        content = json.dumps(call.body, separators=(",", ":")).encode()
        headers = [("Host", peer), *call.headers.items()]
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(content))))
        sent_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(call.timeout_seconds):
                answer = await channel.call("POST", call.path, headers, content)
        except TimeoutError:
            detail = f"no answer in {call.timeout_seconds} s"
            return call.fail(Reason.TIMEOUT, detail, may_be_done=True)
        except OSError as error:
            return call.fail(Reason.CONNECTION_LOST, repr(error), may_be_done=True)
        except ValueError as error:
            # The worker's id or address can't stand in a header field.
            return call.fail(Reason.REQUEST_INVALID, str(error))
        finally:
            self._call_metrics.note_bytes(call.step, channel.n_answer_bytes)
        wait_seconds = answer.began_at - sent_at
        self._connect_timeouts.on_answer(peer, wait_seconds)
        return decode_reply(
            call.step, peer, answer.status, answer.content, wait_seconds
        )

    def _find_channels(self, endpoint: _Endpoint) -> _Channels:
        channels = self._channels_by_endpoint.get(endpoint)
        if channels is None:
            channels = _Channels(self._max_calls_per_worker)
            self._channels_by_endpoint[endpoint] = channels
        return channels

    def _plan_sweep(self) -> None:
        """Let idle connections be searched for, also if no other call follows."""
        if self._next_sweep is None:
            loop = asyncio.get_running_loop()
            self._next_sweep = loop.call_later(SWEEP_SECONDS, self._sweep)

    def _sweep(self) -> None:
        """Close connections that have been idle for `KEEP_ALIVE_SECONDS`."""
        self._next_sweep = None
        now = asyncio.get_running_loop().time()
        for endpoint, channels in list(self._channels_by_endpoint.items()):
            channels.close_idle(now - KEEP_ALIVE_SECONDS)
            if not channels.idle and not channels.n_calls:
                del self._channels_by_endpoint[endpoint]
        if self._channels_by_endpoint:
            self._plan_sweep()


class _Call(NamedTuple):
    """A call to a worker; the fields are the arguments of `WorkerClient.call`."""

    step: str
    endpoint: _Endpoint
    path: str
    timeout_seconds: float
    body: Mapping[str, Any]
    headers: Mapping[str, str]
    incarnation: float | None

    def make_poll(self) -> "_Call":
        """Return a poll that carries nothing of an incarnation.

        It has the token of the call, and is answered at once.
        """
        wait_seconds = self.body.get("WaitMs", 0) / 1000
        return self._replace(
            path=POLL_PATH,
            timeout_seconds=self.timeout_seconds - wait_seconds,
            body={"FencingToken": self.body["FencingToken"], "LastSeen": 0},
        )

    def fail(
        self, reason: Reason, detail: str, may_be_done: bool = False
    ) -> Unavailable:
        """Return why the call has no answer."""
        return Unavailable(reason, self.step, self.endpoint.peer, detail, may_be_done)


def _shows_end_of_connections(call: _Call, reply: Reply | Unavailable) -> bool:
    """Return whether the other connections to the worker may be of no use.

    A poll without an answer shows it. An order may have none as the worker is slow, and
    a poll follows it.
    """
    if not isinstance(reply, Unavailable):
        return False
    is_poll = call.path == POLL_PATH
    return reply.reason is Reason.CONNECTION_LOST or (
        is_poll and reply.reason is Reason.TIMEOUT
    )


def _note_incarnation(channel: WorkerChannel, reply: Reply | Unavailable) -> None:
    """Note which incarnation an answer names, if it names one."""
    if isinstance(reply, Reply):
        channel.incarnation = channel.incarnation or decode_incarnation(reply.body)


def _release(channel: WorkerChannel, channels: _Channels) -> None:
    """Keep a connection for the next call, if it is open."""
    if channel.is_open:
        channels.idle.append(channel)
