"""Tests of the answers that callers get."""

import asyncio
from types import SimpleNamespace

import pytest

from ...jobs.tests.builders import QUEUE, make_configuration
from ..callers import CallerServer


class TestSubmission:
    @pytest.mark.parametrize(
        "content",
        [b"", b"[]", b"{", b"\xff", b"[" * 100_000, b'{"Steps":[{"Count":1e999}]}'],
    )
    def test_a_body_that_is_not_a_job_is_answered_400(self, content):
        """Guards against status 500, which does not tell that nothing was stored."""

        async def read():
            return content

        server = CallerServer.__new__(CallerServer)
        queue = make_configuration().queue_by_name[QUEUE]
        request = SimpleNamespace(read=read)
        answer = asyncio.run(server._submit(request, queue, "studio", "0" * 16))
        assert answer.status == 400
