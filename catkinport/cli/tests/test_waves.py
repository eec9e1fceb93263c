"""Tests of the waves of upkeep that logs tell of."""

from ..exit_codes import ExitCode
from ..main import run
from ..waves import read_waves


def log_line(second, text):
    return f"time=2026-01-01T00:00:{second:02d}.000 level=info {text}\n"


ADDED = log_line(1, 'event="wave added" wave=3 n_vms=4 max_down=2')
RUNNING = log_line(2, 'event="wave reported" wave=3 completed=False n_begun=0')
DELAYED = log_line(9, 'event="wave delayed" wave=3 reasons=budget-exhausted:3 n_left=3')
COMPLETED = log_line(20, 'event="wave reported" wave=3 completed=True n_begun=4')


class TestReadWaves:
    def test_a_delayed_wave_has_its_reasons(self):
        """Guards against a wave that stays open without a word why."""
        (row,) = read_waves([DELAYED, RUNNING, ADDED])
        assert row["state"] == "delayed"
        assert (row["n_vms"], row["n_left"]) == ("4", "3")
        assert row["reasons"] == "budget-exhausted:3"

    def test_a_completed_wave_waits_for_nothing(self):
        (row,) = read_waves([ADDED, DELAYED, COMPLETED])
        assert (row["state"], row["n_left"], row["reasons"]) == ("completed", "0", "")


class TestCommand:
    def test_a_row_a_wave_is_printed(self, tmp_path, capsys):
        log = tmp_path / "daemon.log"
        log.write_text(ADDED + DELAYED)
        assert run(["waves", str(log)]) == 0
        assert "budget-exhausted:3" in capsys.readouterr().out

    def test_logs_without_a_wave_are_reported(self, tmp_path):
        log = tmp_path / "daemon.log"
        log.write_text(log_line(0, 'event="daemon started"'))
        assert run(["waves", str(log)]) == ExitCode.NOT_FOUND
