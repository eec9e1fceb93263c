"""The controller process against stand-ins of the platform and a worker, over HTTP."""

import json
import time
import urllib.request

import pytest

from ...adapters import HttpClient, HttpTable
from ...membership import Acceptance
from ...ports import ListedVm, RowKey, Write
from ...ports.table import Transaction
from ...settings.process import load_controller_settings
from ...standins.platform import PlatformStandin
from ...standins.worker import WorkerStandin
from ...state import job_key, owner_key
from ..daemon import ControllerDaemon
from .cluster import Cluster

DOCUMENT = f"""\
[catkinport]
format = 1

[operator ana]
salt = {"0a" * 16}
digest = {"0b" * 32}

[team a]
max_slots = 1
max_cores = 100

[pool p]
spare = yes
max_unavailable = 1

[queue q]
pool = p
teams = a
"""

SETTINGS = """\
[process]
name = controller-1
zone = z

[addresses]
host = 127.0.0.1
admin_port = 0
peer_port = 0

[platform]
table = {platform}
objects = {platform}
vm_list = {platform}

[cluster]
key = {key}

[controller]
round_seconds = 0.1
renew_seconds = 0.3
lease_seconds = 30
"""


@pytest.fixture
def platform():
    standin = PlatformStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def worker(platform):
    standin = WorkerStandin(platform.address)
    standin.start()
    yield standin
    standin.stop()


def start_daemon(platform, folder):
    path = folder / "controller.ini"
    path.write_text(SETTINGS.format(platform=platform.address, key="k" * 32))
    settings = load_controller_settings(path)
    assert not isinstance(settings, list), settings
    return ControllerDaemon(settings)


def wait_for(condition, seconds: float = 30.0):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("the condition did not become true in time")


def fetch(daemon, path: str) -> bytes:
    with urllib.request.urlopen(f"http://{daemon.admin_address}{path}") as answer:
        return answer.read()


class TestDaemon:
    def test_job_runs_and_its_result_is_stored(self, platform, worker, tmp_path):
        """Guards against faults between the parts of the controller and its clients.

        A job runs from its submission to its stored result; a stop releases the pool
        and leaves the membership.
        """
        vm = ListedVm("vm-1", "live", "z", "r", worker.address, "", "1", 8.0, 64.0, 0)
        platform.vm_list.put(vm._asdict())
        source = Cluster()
        source.submit("j", "q", n_cores=1.0, memory_gb=1.0, run_seconds=0.2)
        row = source.job("j", "q")
        table = HttpTable(HttpClient(platform.address))
        daemon = start_daemon(platform, tmp_path)
        try:
            wait_for(lambda: self.is_member(daemon))
            accepted = daemon._membership.accept_document(DOCUMENT, 0, "c-1", "ana")
            assert isinstance(accepted, Acceptance), accepted
            key = job_key("q", "j")
            table.commit(Transaction([], [Write(key, {**row, "input": "text"})]))
            wait_for(lambda: table.read([key])[key].value["state"] == "done")
            name = table.read([key])[key].value["result_reference"]
            stored = platform._content_by_name
            wait_for(lambda: worker.store_results() or name in stored)
            assert json.loads(stored[name])["job_id"] == "j"
            assert stored["inputs/j"] == b"text"
            assert b'job_start_seconds_count{class="long",team="a"} 1' in fetch(
                daemon, "/metrics"
            )
            assert json.loads(fetch(daemon, "/readyz"))["status"] == "ready"
        finally:
            daemon.stop()
        owner = table.read([owner_key("p")])[owner_key("p")].value
        assert owner == {"member_id": "", "epoch": 1}
        roster = RowKey("membership", "roster")
        assert table.read([roster])[roster].value["member_by_id"] == {}

    def is_member(self, daemon) -> bool:
        return bool(daemon._membership.snapshot().member_id)
