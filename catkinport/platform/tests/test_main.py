"""Tests of the command that runs the daemon."""

import os
import signal
import subprocess
import sys

from ..main import SETTINGS_VARIABLE

START_TIMEOUT_SECONDS = 20.0


class TestStart:
    def test_a_reload_before_the_daemon_runs_does_not_end_it(self, tmp_path):
        """Guards against a process that a change of its settings ends as it starts."""
        # Reading from a pipe holds the process up before the daemon runs.
        path = tmp_path / "settings"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "catkinport.platform.main"],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stderr=subprocess.PIPE,
        )
        with process, path.open("w", encoding="utf-8") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write("not settings")
            settings.close()
            process.communicate(timeout=START_TIMEOUT_SECONDS)
        assert process.returncode == 2
