"""Tests of tables that are read again and again."""

import asyncio
import base64
import json
from types import SimpleNamespace

from ..client import Reply
from ..table import PlatformTable


def entry(key, version, value):
    content = base64.b64encode(json.dumps(value).encode()).decode()
    return {"Table": "servers", "Key": key, "Ver": version, "Value": content}


def read(*pages):
    """Read the table once for each page of entries; return the rows of each read."""
    answers = [
        Reply(200, {"rows": list(page), "Ver": 9, "Truncated": False}, 0.01)
        for page in pages
    ]

    async def call(*args, **kwargs):
        return answers.pop(0)

    table = PlatformTable(SimpleNamespace(call=call), "store:1")

    async def run():
        return [(await table.read_range("servers")).rows for _ in pages]

    return asyncio.run(run())


class TestRereadRows:
    """Load: thousands of rows, read several times a second, few of them changed."""

    def test_an_unchanged_row_is_decoded_once(self):
        """Guards against an event loop that is blocked by each read of the workers."""
        first, second = read([entry("w1", 3, {"a": 1})], [entry("w1", 3, {"a": 1})])
        assert first[0] is second[0]

    def test_a_new_version_is_decoded_again(self):
        """Guards against a worker whose notice that it drains is not seen."""
        first, second = read([entry("w1", 3, {"a": 1})], [entry("w1", 4, {"a": 2})])
        assert [first[0].value, second[0].value] == [{"a": 1}, {"a": 2}]

    def test_a_removed_row_is_not_kept(self):
        """Guards against a worker that has left and is listed for good."""
        first, second, third = read(
            [entry("w1", 3, {}), entry("w2", 4, {})],
            [entry("w2", 4, {})],
            [entry("w1", 5, {"a": 1}), entry("w2", 4, {})],
        )
        assert [row.row_key.key for row in second] == ["w2"]
        assert third[0].value == {"a": 1}
