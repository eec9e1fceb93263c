"""Tests of the request plane over real sockets."""

import pytest

from .world import World


@pytest.fixture
def make_world():
    worlds = []

    def make(**options):
        worlds.append(World(**options))
        return worlds[-1]

    yield make
    for world in worlds:
        world.stop()


class TestForwarding:
    def test_keyed_request_gets_the_answer_to_its_own_request(self, make_world):
        """Guards against a request that is not forwarded as it was written."""
        entry = make_world().entries[0]
        answer = entry.call("/a%2Fb?operation=7", body=b"12345")
        assert answer.status == 200
        assert answer.headers["Catkin-Outcome"] == "answered"
        body = answer.json()
        assert (body["operation"], body["body_bytes"]) == ("7", 5)
        assert body["request_id"] == answer.headers["Catkin-Request-Id"]
