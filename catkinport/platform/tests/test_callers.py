"""Tests of the answers that callers get."""

import asyncio
from types import SimpleNamespace

import pytest

from ...jobs.intake import IdInUse
from ...jobs.tests.builders import QUEUE, make_configuration
from ...ports import NotRun, Reason
from ..callers import CallerServer, ConfigurationAgeLimit


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


class TestUnknownQueue:
    LIMIT = ConfigurationAgeLimit(4.6)

    def _answer(self, age_seconds):
        configuration = SimpleNamespace(
            current=make_configuration(), age_seconds=lambda: age_seconds
        )
        server = CallerServer(None, configuration, None, None, None, self.LIMIT)
        request = SimpleNamespace(headers={"Host": "new"}, path="/new/", method="GET")
        return asyncio.run(server._answer(request))

    def test_it_is_answered_404_by_a_current_configuration(self):
        assert self._answer(4.5).status == 404

    # Guards against 404 for a queue that was added while the daemon could not read the
    # configuration.
    def test_it_is_answered_503_while_the_configuration_is_stale(self):
        answer = self._answer(4.7)
        assert answer.status == 503
        assert answer.retry_after > 0


class TestRefusals:
    """Answers to calls that were not carried out and won't be."""

    def _cancel(self, outcome):
        async def cancel(*_):
            return outcome

        server = CallerServer.__new__(CallerServer)
        server._intake = SimpleNamespace(cancel=cancel)
        queue = make_configuration().queue_by_name[QUEUE]
        return asyncio.run(server._cancel(None, queue, "studio", "0" * 16))

    def test_a_limit_names_the_time_until_the_next_call(self):
        """Guards against callers that come back before they can be served."""
        outcome = NotRun(Reason.LIMIT_REACHED, "early-cancel", "", "", 12.3)
        answer = self._cancel(outcome)
        assert (answer.status, answer.retry_after) == (429, 13)

    def test_a_store_without_an_answer_is_answered_503(self):
        outcome = NotRun(Reason.STORE_UNAVAILABLE, "intake", "", "", 0.5)
        answer = self._cancel(outcome)
        assert (answer.status, answer.retry_after) == (503, 1)

    def test_a_job_with_the_id_of_another_is_answered_400(self):
        """Guards against an acceptance of a job that never runs."""

        async def read():
            return b'{"Spec":"s","Steps":[{"Count":1,"Cpu":1,"MemMb":1}]}'

        async def submit(*_):
            return IdInUse()

        server = CallerServer.__new__(CallerServer)
        server._intake = SimpleNamespace(submit=submit)
        server._configuration = SimpleNamespace(current=make_configuration())
        queue = make_configuration().queue_by_name[QUEUE]
        request = SimpleNamespace(read=read)
        answer = asyncio.run(server._submit(request, queue, "studio", "0" * 16))
        assert answer.status == 400
        assert "0" * 16 in answer.body["error"]
