"""One HTTP connection to a worker.

It ends with the process that has accepted it, so what is sent on it reaches that
process or none, also if another one listens at the same address by then.
"""

import asyncio
import socket
from collections.abc import Sequence
from typing import NamedTuple

import h11

from .client import RESET_ON_CLOSE


class ChannelAnswer(NamedTuple):
    """A complete answer.

    Args:
        status: HTTP status.
        content: its body.
        began_at: time of the event loop in seconds at which it began to arrive.
    """

    status: int
    content: bytes
    began_at: float


class WorkerChannel(asyncio.Protocol):
    """A connection that carries one call at a time.

    Attributes:
        incarnation: Unix time in seconds at which the process started that has accepted
            the connection; 0 until an answer on it has told.
        idle_since: time of the event loop in seconds of the end of the last call.
    """

    def __init__(self) -> None:
        self.incarnation = 0.0
        self.idle_since = 0.0
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[ChannelAnswer] | None = None
        self._status = 0
        self._began_at = 0.0
        self._content = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether it can carry another call."""
        is_connected = self._transport is not None and not self._transport.is_closing()
        return is_connected and self._http.our_state is h11.IDLE

    @property
    def n_answer_bytes(self) -> int:
        """Bytes of the latest answer that have arrived."""
        return len(self._content)

    async def call(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        content: bytes,
    ) -> ChannelAnswer:
        """Send a request and wait for the whole answer.

        The connection is reset if the wait is canceled. A request that is held up on
        the way is lost then.

        Args:
            method: HTTP method.
            path: path of the call.
            headers: all header fields.
            content: body of the request.

        Raises:
            ConnectionError: if the connection ends before, or the answer is malformed.
            ValueError: if a header field is malformed; nothing was sent then.
        """
        if self._transport is None or not self.is_open:
            raise ConnectionResetError("the connection has ended")
        self._status = 0
        self._content = bytearray()
        try:
            request = h11.Request(method=method, target=path, headers=list(headers))
        except h11.LocalProtocolError as error:
            raise ValueError(str(error)) from error
        answer = self._answer = self._loop.create_future()
        head = self._http.send(request) or b""
        body = self._http.send(h11.Data(data=content)) or b""
        end = self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(head + body + end)
        try:
            return await answer
        finally:
            self._answer = None
            if not answer.done() or answer.cancelled():
                self.abort()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection, as asyncio calls it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection, as asyncio calls it."""
        self._fail(exc or ConnectionResetError("closed by the worker"))

    def data_received(self, data: bytes) -> None:
        """Read a part of an answer, as asyncio calls it."""
        if self._answer is None or self._answer.done():
            # What comes without a call would count as the answer to the next one.
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.ProtocolError as error:
            self._fail(ConnectionError(f"malformed answer: {error}"))
            self.abort()

    def eof_received(self) -> bool:
        """Note that the worker sends no more, as asyncio calls it."""
        self.data_received(b"")
        return False

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._status = event.status_code
                self._began_at = self._loop.time()
            elif isinstance(event, h11.Data):
                self._content += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _finish(self) -> None:
        self.idle_since = self._loop.time()
        has_more = bool(self._http.trailing_data[0])
        states = (self._http.our_state, self._http.their_state)
        if states == (h11.DONE, h11.DONE) and not has_more:
            self._http.start_next_cycle()
        else:
            self.abort()
        if self._answer is not None and not self._answer.done():
            answer = ChannelAnswer(self._status, bytes(self._content), self._began_at)
            self._answer.set_result(answer)

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
