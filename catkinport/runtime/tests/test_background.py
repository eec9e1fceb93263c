"""Tests of background loops that fail."""

import asyncio

import pytest

from ..background import run_until_done


class TestFailingLoop:
    def test_it_is_logged_and_runs_again(self, caplog):
        """Guards against a daemon that goes on without a loop and says nothing."""
        outcomes = [ValueError("broken row"), None]

        async def run():
            outcome = outcomes.pop(0)
            if outcome is not None:
                raise outcome

        asyncio.run(run_until_done("ownership", run, pause_seconds=0.0))
        assert outcomes == []
        assert "ownership" in caplog.text
        assert "broken row" in caplog.text

    def test_a_cancellation_ends_it(self):
        """Guards against loops that a stopping daemon can't end."""

        async def cancel():
            task = asyncio.ensure_future(
                run_until_done("ownership", lambda: asyncio.sleep(60.0))
            )
            await asyncio.sleep(0)
            task.cancel()
            await task

        with pytest.raises(asyncio.CancelledError):
            asyncio.run(cancel())
