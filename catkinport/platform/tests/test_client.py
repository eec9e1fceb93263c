"""Tests of calls that get no answer."""

import asyncio

from ...ports import Reason, Unavailable
from ...runtime import Metrics
from ..client import PlatformClient

TIMEOUT_SECONDS = 0.2
READ_SECONDS = 5.0


class SilentServer:
    """Server that reads requests and answers none.

    Attributes:
        endings: how each connection has ended: ``"reset"`` or ``"closed"``.
    """

    def __init__(self) -> None:
        self.endings: asyncio.Queue[str] = asyncio.Queue()

    async def serve(self, reader, writer) -> None:
        try:
            while await reader.read(65536):
                pass
            await self.endings.put("closed")
        except ConnectionResetError:
            await self.endings.put("reset")
        finally:
            writer.close()


class TestCallWithoutAnswer:
    def test_its_connection_is_reset(self):
        """Guards against an order that arrives seconds later, after newer ones.

        A connection that is only closed still delivers what was held up on the way.
        """

        async def call():
            silent = SilentServer()
            server = await asyncio.start_server(silent.serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = PlatformClient(Metrics())
            await client.open()
            outcome = await client.call(
                "order", "POST", f"{host}:{port}", "/", TIMEOUT_SECONDS, {"a": 1}
            )
            async with asyncio.timeout(READ_SECONDS):
                ending = await silent.endings.get()
            await client.close()
            server.close()
            return outcome, ending

        outcome, ending = asyncio.run(call())
        assert isinstance(outcome, Unavailable)
        assert outcome.reason is Reason.TIMEOUT
        assert ending == "reset"
