"""Tests of a connection to a worker that gets malformed answers."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..worker_channel import ChannelAnswer, WorkerChannel

HEADERS = [("Host", "h:1"), ("Content-Length", "2")]
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class FakeTransport(asyncio.Transport):
    """Keeps what was sent, and whether the connection was reset."""

    def __init__(self):
        super().__init__({"socket": SimpleNamespace(setsockopt=lambda *option: None)})
        self.sent = b""
        self.is_aborted = False

    def write(self, data):
        self.sent += data

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted


async def answer_call(pieces):
    """Answer a call in pieces, then end the connection; return outcome and channel."""
    channel = WorkerChannel()
    channel.connection_made(FakeTransport())
    call = asyncio.ensure_future(channel.call("POST", "/hold", HEADERS, b"{}"))
    await asyncio.sleep(0)
    for piece in pieces:
        channel.data_received(piece)
    is_open = channel.is_open
    channel.eof_received()
    channel.connection_lost(None)
    return (await asyncio.gather(call, return_exceptions=True))[0], is_open


class TestAnswers:
    @settings(max_examples=200)
    @given(st.binary(max_size=200), st.sampled_from([b"", ANSWER[:9], ANSWER[:40]]))
    def test_any_bytes_are_an_answer_or_no_answer(self, content, start):
        """Guards against a malformed answer that ends the loops of the owner."""
        outcome, _ = asyncio.run(answer_call([start + content]))
        assert isinstance(outcome, ChannelAnswer | ConnectionError)

    @pytest.mark.parametrize("n_bytes", [1, 7, len(ANSWER)])
    def test_pieces_are_put_together(self, n_bytes):
        pieces = [ANSWER[i : i + n_bytes] for i in range(0, len(ANSWER), n_bytes)]
        outcome, is_open = asyncio.run(answer_call(pieces))
        assert outcome[:2] == (200, b"{}")
        assert is_open

    @pytest.mark.parametrize(
        "answer",
        [
            ANSWER.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
            ANSWER + b"HTTP/1.1 200 OK\r\n",
        ],
    )
    def test_a_connection_that_is_over_carries_no_other_call(self, answer):
        """Guards against a call whose answer is that to another one."""
        outcome, is_open = asyncio.run(answer_call([answer]))
        assert outcome[:2] == (200, b"{}")
        assert not is_open

    def test_bytes_without_a_call_end_it(self):
        """Guards against a call whose answer was there before it."""

        async def run():
            channel = WorkerChannel()
            channel.connection_made(FakeTransport())
            channel.data_received(ANSWER[:20])
            return channel.is_open

        assert not asyncio.run(run())

    def test_an_answer_without_a_length_ends_with_the_connection(self):
        outcome, _ = asyncio.run(answer_call([b"HTTP/1.1 200 OK\r\n\r\n{", b"}"]))
        assert outcome[:2] == (200, b"{}")
