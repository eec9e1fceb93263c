"""Tests of the answers that callers get."""

import asyncio
from types import SimpleNamespace

import pytest

from ...jobs.intake import IdInUse
from ...jobs.tests.builders import QUEUE, make_configuration
from ...policy.call_deadlines import answer_seconds
from ...ports import NotRun, Reason
from ..callers import (
    DEADLINE_HEADER,
    CallerServer,
    ConfigurationAgeLimit,
    JobCall,
)
from ..listener import BEGAN_AT


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
        call = JobCall(queue, "studio", "0" * 16, 0.0)
        answer = asyncio.run(server._submit(request, call))
        assert answer.status == 400


class FakeRequest(dict):
    """Request with the values that the listener stores in it."""

    def __init__(self, headers, path, read, values):
        super().__init__(values)
        self.headers = headers
        self.path = path
        self.method = "POST"
        self.read = read


class TestDeadline:
    """Time by which a call is answered."""

    def _submit(self, headers, seconds_to_arrive=0.0):
        async def read():
            return b'{"Spec":"s","Steps":[{"Count":1,"Cpu":1,"MemMb":1}]}'

        async def submit(job, rules, answer_by):
            left.append(answer_by - asyncio.get_running_loop().time())
            return IdInUse()

        left = []
        configuration = make_configuration()
        queue = configuration.queue_by_name[QUEUE]
        queue = queue._replace(is_open=True)
        configuration = SimpleNamespace(
            version=1, find_queue=lambda host, path: queue, queue_by_name={QUEUE: queue}
        )
        watch = SimpleNamespace(current=configuration, age_seconds=lambda: 0.0)
        intake = SimpleNamespace(submit=submit)
        limit = ConfigurationAgeLimit(4.6)
        server = CallerServer(intake, watch, None, None, None, limit)
        path = queue.path_prefix + "0" * 16

        async def answer():
            began_at = asyncio.get_running_loop().time() - seconds_to_arrive
            request = FakeRequest(headers, path, read, {BEGAN_AT: began_at})
            await server._answer(request)

        asyncio.run(answer())
        return left[0]

    @pytest.mark.parametrize(
        ("text", "milliseconds"),
        [
            ("2000", 2000),
            ("100", 100),
            ("60000", 30_000),
            ("", None),
            ("soon", None),
            ("-5", None),
            ("nan", None),
            ("inf", None),
        ],
    )
    def test_it_follows_the_header(self, text, milliseconds):
        """Guards against answers that come after their caller has gone.

        Also guards against a text that no number can be read from, and against a call
        that is kept for as long as its caller says.
        """
        headers = {"Host": "any", DEADLINE_HEADER: text}
        left = self._submit(headers)
        assert left == pytest.approx(answer_seconds(milliseconds), abs=0.2)

    @pytest.mark.parametrize(
        ("text", "seconds_to_arrive", "left"),
        [
            ("2000", 0.5, 1.35),
            ("2000", 3.0, 0.0),
            ("60000", 10.0, 29.85),
            ("", 2.0, 2.85),
        ],
    )
    def test_the_time_in_which_a_request_arrives_counts(
        self, text, seconds_to_arrive, left
    ):
        """Guards against late answers to calls whose bodies take long to arrive.

        The deadline counts from the sending. A caller that names none may send slowly.
        """
        headers = {"Host": "any", DEADLINE_HEADER: text}
        assert self._submit(headers, seconds_to_arrive) == pytest.approx(left, abs=0.2)

    def test_a_call_without_the_header_is_answered_within_3_s(self):
        """Guards against calls that wait longer than callers do."""
        assert 2.5 < self._submit({"Host": "any"}) <= 2.85


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
        call = JobCall(queue, "studio", "0" * 16, 0.0)
        return asyncio.run(server._cancel(None, call))

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
        call = JobCall(queue, "studio", "0" * 16, 0.0)
        answer = asyncio.run(server._submit(request, call))
        assert answer.status == 400
        assert "0" * 16 in answer.body["error"]
