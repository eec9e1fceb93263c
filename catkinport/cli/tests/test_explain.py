"""Tests of the history of a request from logs."""

import pytest

from ..exit_codes import ExitCode
from ..explain import explain, find_history
from ..main import run

JOB = "00000000000000a1"
JOB_ADDED = 'level=info event="job added"'
LOG = f"""\
 0.1 edge-1 time=2026-01-01T00:00:01.000 level=info event="call answered" \
request_id={JOB} method=POST status=200 reason=accepted configuration_age_seconds=0.4
 0.2 edge-1 time=2026-01-01T00:00:01.100 {JOB_ADDED} request_id={JOB}
 0.3 edge-1 time=2026-01-01T00:00:01.050 {JOB_ADDED} request_id=other
 3.9 edge-2 time=2026-01-01T00:00:05.000 level=info event="job complete" \
request_id={JOB} seconds=3.9 objective_seconds=2.2 late=True waited_seconds=2.5
"""


class TestHistory:
    def test_only_lines_of_the_request_in_order_of_time(self):
        history = find_history(reversed(LOG.splitlines()), JOB)
        assert [event.name for event in history] == [
            "call answered",
            "job added",
            "job complete",
        ]

    def test_late_job_is_explained_by_its_wait(self):
        (cause,) = explain(find_history(LOG.splitlines(), JOB))
        assert cause == (
            "complete after 3.9 s of 2.2 s: its first task waited 2.5 s for a worker"
        )

    @pytest.mark.parametrize(
        ("line", "word"),
        [
            ('event="call answered" method=POST status=503 reason=stale', "503"),
            ('event="job failed" task=t n_failures=3 worker=w', "failed 3 times"),
            ('event="job cancel taken in" state=running', "canceled"),
            ('event="run lost" task=t run=1 worker=w reason=vm-down', "vm-down"),
            (
                'event="start without answer" worker=w reason=restarted may_run=False',
                "a start on w was not sent: restarted",
            ),
        ],
    )
    def test_each_kind_of_failure_has_a_cause(self, line, word):
        history = find_history([f"time=1 request_id={JOB} {line}"], JOB)
        assert word in explain(history)[0]


class TestCommand:
    def test_history_of_a_file(self, tmp_path, capsys):
        log = tmp_path / "edge-1.log"
        log.write_text(LOG, encoding="utf-8")
        assert run(["explain", JOB, str(log)]) is ExitCode.DONE
        assert "job complete" in capsys.readouterr().out

    def test_unknown_request(self, tmp_path):
        log = tmp_path / "edge-1.log"
        log.write_text(LOG, encoding="utf-8")
        assert run(["explain", "ff", str(log)]) is ExitCode.NOT_FOUND

    def test_missing_file(self, tmp_path):
        assert run(["explain", JOB, str(tmp_path / "none")]) is ExitCode.USAGE
