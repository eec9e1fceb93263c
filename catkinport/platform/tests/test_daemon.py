"""Tests of the daemon's background loops."""

import asyncio

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
