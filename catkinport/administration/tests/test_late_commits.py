"""Tests of operators' changes that are carried out after a newer one was confirmed."""

from ...standins import LateTable, MemoryTable
from .fakes import OPERATOR_DOCUMENT, SECRET, FakeDaemon
from .test_api import Client


class TestLateMaintenanceState:
    """A start without an answer may be stored after maintenance was paused."""

    def test_late_start_does_not_undo_a_confirmed_pause(self):
        """Guards against VMs that are taken down after a confirmed pause.

        Maintenance is still paused when the second pause is confirmed.
        """
        daemon = FakeDaemon(LateTable(MemoryTable()))
        Client(daemon, f"first.{SECRET}").apply(OPERATOR_DOCUMENT, 0)
        client = Client(daemon)
        pause, start = "/v1/maintenance/pause", "/v1/maintenance/start"
        assert client.call("POST", pause, change_id="c-1")[0] == 200
        daemon.table.n_held = 1
        assert client.call("POST", start, change_id="c-2")[0] == 504
        assert client.call("POST", pause, change_id="c-3")[0] == 200
        daemon.table.carry_out_held()
        assert client.call("GET", "/v1/maintenance")[1]["is_paused"]
