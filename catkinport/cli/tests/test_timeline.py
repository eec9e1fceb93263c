"""Tests of the jobs on time before, during and after a fault, from logs."""

from ..exit_codes import ExitCode
from ..main import run
from ..timeline import ServedJob, read_timeline, recovery_seconds, share_on_time

JOBS = [
    *[ServedJob(at, False) for at in range(10)],
    *[ServedJob(at, True) for at in range(10, 16)],
    *[ServedJob(at, False) for at in range(16, 20)],
]


def log_line(second, text):
    return f"time=2026-01-01T00:00:{second:02d}.000 level=info {text}\n"


def complete(second, job, late, seconds=1.0):
    text = f'event="job complete" request_id={job} seconds={seconds} late={late}'
    return log_line(second, text)


class TestReadTimeline:
    def test_a_job_counts_once_where_it_was_accepted(self):
        lines = [
            log_line(0, 'event="daemon started"'),
            complete(9, "a", True, seconds=5.0),
            complete(9, "a", True, seconds=5.0),
            log_line(4, 'event="run lost" request_id=a'),
        ]
        timeline = read_timeline(lines)
        assert timeline.jobs == [ServedJob(4.0, True)]
        assert timeline.counts == {(2, "runs_lost"): 1}

    def test_logs_without_a_time_give_no_timeline(self):
        assert read_timeline(["event=x", "nothing"]) is None


class TestShares:
    def test_before_during_and_after(self):
        assert share_on_time(JOBS, 0.0, 10.0) == 1.0
        assert share_on_time(JOBS, 10.0, 14.0) == 0.0
        assert share_on_time(JOBS, 30.0, 40.0) is None

    def test_recovery_counts_from_the_end_of_the_fault(self):
        assert recovery_seconds(JOBS, 10.0, 14.0) == 2.0

    def test_no_recovery_within_the_logs(self):
        assert recovery_seconds(JOBS[:14], 10.0, 12.0) is None


class TestCommand:
    def test_shares_around_the_fault_are_printed(self, tmp_path, capsys):
        log = tmp_path / "daemon.log"
        lines = [complete(at + 1, f"j{at}", 4 <= at < 6) for at in range(8)]
        log.write_text(log_line(0, 'event="daemon started"') + "".join(lines))
        status = run(["timeline", str(log), "--fault", "4", "6"])
        printed = capsys.readouterr().out
        assert status == 0
        assert "on time before the fault: 100%" in printed
        assert "on time during the fault: 0%" in printed
        assert "as good as before again after: 0 s" in printed

    def test_a_missing_log_is_an_error(self, tmp_path):
        assert run(["timeline", str(tmp_path / "none.log")]) == ExitCode.USAGE
