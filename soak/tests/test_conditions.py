"""Tests of the lasting conditions."""

import threading
import time
from types import SimpleNamespace

from ..conditions import CONDITION_BY_NAME


class TestSilentConnections:
    def test_it_comes_again_until_its_end(self):
        """Guards against a condition that acts once, or goes on after the play."""
        silenced = []
        is_repeated = threading.Event()

        def silence(proxy):
            silenced.append(proxy)
            if len(silenced) >= 4:
                is_repeated.set()

        environment = SimpleNamespace(
            store_proxy_by_name={"entry-0": "a", "entry-1": "b"}, silence=silence
        )
        end = CONDITION_BY_NAME["connections_silent"](environment, 0.01)
        assert is_repeated.wait(5.0)
        end()
        n_silenced = len(silenced)
        assert set(silenced) == {"a", "b"}
        time.sleep(0.05)
        assert len(silenced) == n_silenced


class TestSlowOutput:
    def test_it_begins_and_ends_for_all_daemons(self):
        """Guards against daemons whose output is read fast in a play of slow output."""
        speeds = []
        process = SimpleNamespace(limit_output=speeds.append)
        daemon = SimpleNamespace(process=process)
        deployment = SimpleNamespace(daemon_by_name={"entry-0": daemon})
        environment = SimpleNamespace(deployment=deployment)
        end = CONDITION_BY_NAME["output_slow"](environment, 4.0)
        assert speeds == [4000.0]
        end()
        assert speeds[1:] == [float("inf")]
