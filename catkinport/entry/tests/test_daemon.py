"""Tests of the entry as a process, with stand-ins for platform and backend server."""

import json
import re
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from ...ports import Transaction, Write
from ...settings.keys import hash_secret
from ...standins.backend_server import BackendServerStandin
from ...standins.platform import PlatformStandin
from ...state import CHANGES_WRITE, CONFIGURATION, GENERATION, ROSTER, pool_key
from .cluster import AUTHORIZATION, SALT, SECRET

DOCUMENT = f"""\
[catkinport]
format = 1

[operator ana]
salt = {"0a" * 16}
digest = {"0b" * 32}

[team blue]
max_slots = 40
max_cores = 100

[account acc]
team = blue

[key k]
account = acc
salt = {SALT}
digest = {hash_secret(SECRET, SALT).digest}

[pool p]
max_unavailable = 1

[pool spare]
spare = yes

[service s]
pool = p

[queue q]
service = s
teams = blue
"""

SETTINGS = """\
[process]
name = entry-1
zone = z1

[platform]
table = {platform}
objects = {platform}
vm_list = {platform}

[cluster]
key = {key}

[stop]
balancer_lag_seconds = 0.5
drain_deadline_seconds = 20
"""


class EntryProcess:
    """A ``catkin-entry`` process with its platform and a backend server."""

    def __init__(self, folder, document=DOCUMENT, **settings):
        self.platform = PlatformStandin()
        self.platform.start()
        self.server = BackendServerStandin()
        self.server.start()
        self._write_rows(document)
        path = folder / "entry.ini"
        path.write_text(SETTINGS.format(platform=self.platform.address, key="k" * 32))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "catkinport.entry.main", "--settings", str(path)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.admin = self._read_address("admin listening on")
        self.caller = self._read_address("listening on")
        self.http = urllib3.PoolManager(retries=False, timeout=20, maxsize=16)

    def call(self, path="/x"):
        """Send a keyed request."""
        url = f"http://{self.caller}/v1/queues/q/requests{path}"
        return self.http.request("POST", url, headers=AUTHORIZATION, body=b"x")

    def show(self, path):
        """Read from the administration port."""
        return self.http.request("GET", f"http://{self.admin}{path}")

    def wait_until_ready(self):
        """Wait until the entry is ready and requests reach the backend server."""
        deadline = time.monotonic() + 20
        while self.show("/readyz").status != 200 or self.call().status != 200:
            assert time.monotonic() < deadline, self.show("/readyz").data
            time.sleep(0.1)

    def close(self):
        """End the process and the stand-ins."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.server.stop()
        self.platform.stop()

    def _read_address(self, label):
        line = self.process.stdout.readline()
        match = re.fullmatch(f"{label} (.*)\n", line)
        assert match, line
        return match[1]

    def _write_rows(self, document):
        configuration = {
            "revision": 1,
            "digest": "d",
            "change_id": "c",
            "document": document,
            "accepted_by": "",
            "operator": "ana",
            "history": [],
        }
        vm = {
            "backend_address": self.server.address,
            "worker_address": "",
            "zone": "z1",
            "rack": "r",
        }
        pool = {"serving_vm_by_id": {"vm-1": vm}, "reason_by_disrupted_vm": {}}
        writes = [
            Write(CONFIGURATION, configuration),
            Write(GENERATION, {"generation": 1}),
            Write(pool_key("p"), pool),
            CHANGES_WRITE,
        ]
        self.platform.table.commit(Transaction([], writes))


@pytest.fixture
def process(tmp_path):
    process = EntryProcess(tmp_path)
    yield process
    process.close()


class TestProcess:
    def test_sigterm_under_load_interrupts_no_request(self, process):
        """Guards against a planned stop that breaks requests or keeps allowances."""
        process.wait_until_ready()
        with ThreadPoolExecutor(6) as executor:
            running = [
                executor.submit(process.call, "/x?seconds=1.5") for _ in range(6)
            ]
            time.sleep(0.4)
            process.process.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            assert json.loads(process.show("/readyz").data)["reason"] == "stopping"
            late = process.call()
            assert late.status == 200
            assert {future.result().status for future in running} == {200}
        assert process.process.wait(20) == 0
        roster = process.platform.table.read([ROSTER])[ROSTER].value
        assert roster["member_by_id"] == {}
        for row in process.platform.table.scan("allowances").rows:
            assert row.value["amount_by_holder"] == {}

    def test_metrics_name_team_and_class(self, process):
        """Guards against latencies that cannot be told apart by team and class."""
        process.wait_until_ready()
        text = process.show("/metrics").data.decode()
        assert re.search(
            r'catkin_request_seconds_count\{class="long",outcome="answered",team="blue"',
            text,
        )

    def test_invalid_settings_are_named(self, tmp_path):
        """Guards against a start with invalid or missing settings."""
        path = tmp_path / "entry.ini"
        path.write_text("[process]\nname = a\n")
        done = subprocess.run(
            [sys.executable, "-m", "catkinport.entry.main", "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == 2
        assert "zone" in done.stdout + done.stderr
