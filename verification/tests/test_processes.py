"""Tests of the processes of a trial deployment."""

import math
import time

import pytest

from ..processes import ManagedProcess, ProcessGroup


class TestFolder:
    def test_the_folder_is_removed_with_the_group(self):
        """Guards against trials that leave settings and output behind."""
        with ProcessGroup() as processes:
            (processes.folder / "entry-0.ini").write_text("")
        assert not processes.folder.exists()

    def test_a_kept_folder_outlives_the_group(self, tmp_path):
        """Guards against failed trials whose output is removed with them."""
        with ProcessGroup(parent=tmp_path) as processes:
            processes.is_folder_kept = True
            (processes.folder / "entry-0.log").write_text("line")
        assert (processes.folder / "entry-0.log").read_text() == "line"

    def test_the_end_of_a_kept_group_names_the_folder(self, tmp_path):
        """Guards against output of a trial that broke off and that nobody finds."""
        with pytest.raises(RuntimeError) as raised, ProcessGroup(tmp_path) as processes:
            processes.is_folder_kept = True
            raise RuntimeError("daemon not ready")
        assert str(processes.folder) in raised.value.__notes__[0]


class TestLimitedOutput:
    def test_the_process_is_held_up_and_no_line_is_lost(self, tmp_path):
        """Guards against a slow reader that slows nobody, or loses lines."""
        script = "for i in range(20000): print('line', i)"
        (tmp_path / "printer.py").write_text(script)
        variables = {"PYTHONPATH": str(tmp_path)}
        process = ManagedProcess(
            "printer", ["printer"], tmp_path / "log", variables, is_output_piped=True
        )
        process.limit_output(4000)
        time.sleep(1.0)
        assert process.is_running
        process.limit_output(math.inf)
        assert process.wait_for_line("line 19999")

    def test_lines_are_found_that_arrive_after_the_end_of_the_process(self, tmp_path):
        """Guards against a reader that gives up while the last lines are on their way.

        A pipe holds what the process has written, and the process has ended by then.
        """
        script = "print('first'); time.sleep(0.5); print('x' * 9000); print('last')"
        (tmp_path / "printer.py").write_text(f"import time; {script}")
        variables = {"PYTHONPATH": str(tmp_path)}
        process = ManagedProcess(
            "printer", ["printer"], tmp_path / "log", variables, is_output_piped=True
        )
        process.limit_output(10_000)
        assert process.wait_for_line("last") == [""]

    def test_output_without_a_pipe_cannot_be_limited(self, tmp_path):
        """Guards against a condition that is played without any effect."""
        (tmp_path / "printer.py").write_text("print('line')")
        variables = {"PYTHONPATH": str(tmp_path)}
        process = ManagedProcess("printer", ["printer"], tmp_path / "log", variables)
        with pytest.raises(ValueError, match="must be piped"):
            process.limit_output(4000)
        process.terminate()
