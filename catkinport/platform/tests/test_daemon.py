"""Tests of the daemon's background loops, and of its stop."""

import asyncio
import socket
from types import SimpleNamespace

from ...jobs.ownership.ownership_watch import RETRY_SECONDS, OwnershipWatch
from ..callers import Answer, CallerServer
from ..daemon import PlatformDaemon
from ..settings import DaemonSettings, parse_settings

SETTINGS = """
[daemon]
name = entry-0
zone = zone-a

[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:1
metrics_port = 1

[services]
table = 127.0.0.1:9
vms = 127.0.0.1:9
"""


class TestBackgroundLoops:
    def test_a_loop_that_fails_is_logged(self, monkeypatch, caplog, tmp_path):
        """Guards against a daemon that answers callers and never owns the fleet again.

        Nobody awaits the loops while the daemon runs, so their exceptions were dropped.
        """

        async def fail(daemon):
            raise ValueError("broken row")

        monkeypatch.setattr(PlatformDaemon, "_run_ownership", fail)
        settings = parse_settings(SETTINGS)
        assert isinstance(settings, DaemonSettings), settings
        # The settings file doesn't allow port 0, by which the kernel picks free ports.
        free = "127.0.0.1:0"
        settings = settings._replace(callers=free, ready=free, metrics_port=0)

        async def run_for_a_while():
            daemon = PlatformDaemon(settings, tmp_path)
            task = asyncio.ensure_future(daemon.run())
            await asyncio.sleep(0.3)
            failed_text = caplog.text
            daemon._stop.set()
            await task
            return failed_text

        assert "broken row" in asyncio.run(run_for_a_while())


class TestStoreAway:
    def test_an_owner_reads_the_rows_of_the_ownership_at_intervals(
        self, monkeypatch, tmp_path
    ):
        """Guards against an owner that is busy with calls that fail at once."""
        n_polls = 0

        async def fail(watch):
            nonlocal n_polls
            n_polls += 1
            return False

        monkeypatch.setattr(OwnershipWatch, "poll", fail)
        settings = parse_settings(SETTINGS)
        assert isinstance(settings, DaemonSettings), settings

        async def own_for_a_while():
            daemon = PlatformDaemon(settings, tmp_path)
            daemon._owner = SimpleNamespace(follow_ownership=lambda watch: None)
            loop = asyncio.ensure_future(daemon._refresh_queue_depths())
            await asyncio.sleep(2.5 * RETRY_SECONDS)
            loop.cancel()

        asyncio.run(own_for_a_while())
        assert n_polls == 3


class TestStop:
    def test_a_call_without_an_outcome_is_answered_within_the_grace_period(
        self, monkeypatch, tmp_path
    ):
        """Guards against a stop that ends a call's connection without an answer."""

        async def answer(server, request):
            await asyncio.sleep(30.0)
            return Answer(200)

        monkeypatch.setattr(CallerServer, "_answer", answer)
        with socket.create_server(("127.0.0.1", 0)) as free:
            callers = f"127.0.0.1:{free.getsockname()[1]}"
        settings = parse_settings(SETTINGS)
        assert isinstance(settings, DaemonSettings), settings
        settings = settings._replace(
            callers=callers,
            ready="127.0.0.1:0",
            metrics_port=0,
            bounds=settings.bounds._replace(stop_grace=2.0),
        )

        async def stop_during_call():
            loop = asyncio.get_running_loop()
            daemon = PlatformDaemon(settings, tmp_path)
            task = asyncio.ensure_future(daemon.run())
            await asyncio.sleep(0.2)
            host, port = callers.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.1)
            began_at = loop.time()
            daemon._stop.set()
            received = await reader.read()
            await task
            writer.close()
            return received, loop.time() - began_at

        received, seconds = asyncio.run(stop_during_call())
        assert received.startswith(b"HTTP/1.1 504")
        assert seconds < 2.0
