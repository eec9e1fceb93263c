"""Tests of the fault schedules and the proxies, and a short seeded run."""

import asyncio
import contextlib
import itertools
import json
import random
import socket
import tempfile
import threading

import pytest

from verification.platform.deployment import DaemonProcess, PlatformSize

from .. import load, run
from ..environment import SoakEnvironment
from ..faults import FAULT_BY_NAME, PlannedFault, draw_schedule
from ..proxy import RESET_ON_CLOSE, Proxy, ProxyHub
from ..restarts import draw_restarts
from ..run import SoakResult, run_seed
from ..series import draw_series
from ..zone_evacuations import draw_evacuations

FAULT_SECONDS = 8.0
SEEDS = (101,)


class TestSchedule:
    def test_the_same_seed_gives_the_same_schedule(self):
        """Guards against failed seeds that cannot be repeated."""
        first = draw_schedule(random.Random(7), 20.0)
        assert first == draw_schedule(random.Random(7), 20.0)
        assert first != draw_schedule(random.Random(8), 20.0)

    def test_every_fault_is_drawn(self):
        """Guards against a fault that is registered and never injected."""
        schedule = draw_schedule(random.Random(1), 2000.0)
        series = draw_series(random.Random(1), 2000.0)
        evacuations = draw_evacuations(random.Random(1), 2000.0)
        restarts = itertools.chain(*draw_restarts(random.Random(1), 2000.0))
        drawn = [*schedule, *series, *evacuations, *restarts]
        assert {planned.name for planned in drawn} == set(FAULT_BY_NAME)

    def test_single_faults_of_a_seed_stay_as_they_are(self):
        """Guards against known seeds that play other faults than when they failed."""
        schedule = draw_schedule(random.Random(7), 20.0)
        assert [planned.name for planned in schedule[:4]] == [
            "cut_from_store",
            "silence_connections",
            "late_orders",
            "cut_worker",
        ]

    def test_short_runs_have_a_series_too(self):
        """Guards against a run in CI in which nothing overlaps."""
        for seed in range(20):
            series = draw_series(random.Random(f"{seed}-series"), FAULT_SECONDS)
            assert len(series) >= 2
            gaps = zip(series, series[1:], strict=False)
            assert any(b.start_seconds - a.start_seconds < 3.0 for a, b in gaps)

    def test_the_same_seed_gives_the_same_series(self):
        """Guards against failed seeds that cannot be repeated."""
        first = draw_series(random.Random("7-series"), 20.0)
        assert first == draw_series(random.Random("7-series"), 20.0)


class FakeProcess:
    """Process that a signal ends later than a kill does."""

    def __init__(self):
        self.is_running = True

    def kill(self):
        self.is_running = False

    def send_signal(self, signal_number):
        pass


class FakeDeployment:
    """Deployment with one daemon, which is never the owner, and no processes."""

    def __init__(self):
        self.daemon_by_name = {}

    def find_owner(self):
        return None

    def start_daemon(self, name, *addresses):
        daemon = DaemonProcess(name, FakeProcess(), "", "", "")
        self.daemon_by_name[name] = daemon
        return daemon


class TestRestart:
    @pytest.fixture
    def environment(self):
        """Return an environment with a fake daemon."""
        environment = SoakEnvironment(None, PlatformSize())
        environment.deployment = FakeDeployment()
        environment.store_proxy_by_name["entry-0"] = Proxy("")
        environment.first = environment.start_daemon("entry-0")
        yield environment
        environment.close()

    def test_a_daemon_that_several_faults_end_is_started_once(self, environment):
        """Guards against a second process of a daemon beside the first.

        It can't listen, the soak loses sight of the first one, and that one can be
        neither stopped nor healed any more.
        """
        names = ("kill_daemon", "stop_daemon", "kill_all_daemons")
        ends = [FAULT_BY_NAME[name](environment, random.Random(1)) for name in names]
        ends[0]()
        environment.restart_ended()
        second = environment.deployment.daemon_by_name["entry-0"]
        for end in ends[1:]:
            end()
            environment.restart_ended()
        assert second is not environment.first
        assert environment.deployment.daemon_by_name["entry-0"] is second

    def test_a_daemon_that_stops_slowly_is_started_once_it_has_ended(self, environment):
        """Guards against stopped daemons that are missing for the rest of a run.

        A daemon takes 2.5 s and more to stop, and the fault may be shorter.
        """
        end = FAULT_BY_NAME["stop_daemon"](environment, random.Random(1))
        end()
        environment.restart_ended()
        assert environment.deployment.daemon_by_name["entry-0"] is environment.first
        environment.first.process.is_running = False
        environment.restart_ended()
        second = environment.deployment.daemon_by_name["entry-0"]
        assert second is not environment.first


class TestProxy:
    @pytest.fixture
    def proxied_connection(self):
        """Return the hub, a proxy to an echo server, and a connection to the proxy."""
        echo = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._echo, args=(echo,), daemon=True).start()
        hub = ProxyHub()
        proxy = hub.open(f"127.0.0.1:{echo.getsockname()[1]}")
        host, _, port = proxy.address.rpartition(":")
        connection = socket.create_connection((host, int(port)), timeout=2.0)
        yield hub, proxy, connection
        connection.close()
        hub.close()
        echo.close()

    @staticmethod
    def _echo(server):
        connection, _ = server.accept()
        with contextlib.suppress(ConnectionError):
            while chunk := connection.recv(100):
                connection.sendall(chunk)

    def test_bytes_pass(self, proxied_connection):
        """Guards against a proxy that loses or changes bytes without a fault."""
        _, _, connection = proxied_connection
        connection.sendall(b"a")
        assert connection.recv(1) == b"a"

    def test_a_cut_holds_bytes_until_it_is_healed(self, proxied_connection):
        """Guards against a cut that lets bytes pass or drops them."""
        _, proxy, connection = proxied_connection
        proxy.link.is_cut_to_target = True
        connection.sendall(b"a")
        connection.settimeout(0.3)
        with pytest.raises(TimeoutError):
            connection.recv(1)
        proxy.link.heal()
        connection.settimeout(2.0)
        assert connection.recv(1) == b"a"

    def test_a_reset_ends_the_connection(self, proxied_connection):
        """Guards against a reset that the peer sees as a regular close."""
        hub, proxy, connection = proxied_connection
        connection.sendall(b"a")
        connection.recv(1)
        hub.call(proxy.reset())
        with pytest.raises(ConnectionError):
            connection.recv(1)

    def test_connections_end_with_the_hub(self, proxied_connection):
        """Guards against connections that outlive the event loop of the proxies.

        Their end failed when they were collected as garbage, and pytest with it.
        """
        hub, _, connection = proxied_connection
        connection.sendall(b"a")
        connection.recv(1)
        hub.close()
        with pytest.raises(ConnectionError):
            connection.recv(1)

    def test_silent_connections_may_be_reset_twice(self, proxied_connection):
        """Guards against a run that breaks off at a connection that is closed."""
        hub, proxy, connection = proxied_connection
        connection.sendall(b"a")
        connection.recv(1)
        hub.call(proxy.silence())
        for _ in range(2):
            hub.call(proxy.reset())
            hub.call(asyncio.sleep(0.05))

    def test_a_silent_connection_that_the_client_has_closed_may_be_reset(
        self, proxied_connection
    ):
        """Guards against a run that breaks off as its proxies end."""
        hub, proxy, connection = proxied_connection
        connection.sendall(b"a")
        connection.recv(1)
        # Bytes that wait behind a cut keep the writer in the proxy's list.
        proxy.link.is_cut_to_target = True
        connection.sendall(b"a")
        hub.call(asyncio.sleep(0.05))
        abort(connection)
        hub.call(proxy.silence())
        hub.call(asyncio.sleep(0.2))
        hub.call(proxy.reset())


def abort(connection: socket.socket) -> None:
    """Close a connection so that the other end is reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


class TestRun:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_promise_is_broken(self, seed):
        """Guards against promises that faults break; soak/run.py lists them."""
        result = run_seed(seed, FAULT_SECONDS, PlatformSize())
        assert result.violations == []
        assert result.n_accepted > 10

    def test_nothing_starts_in_evacuated_zones(self):
        """Guards against starts in evacuated zones, by whichever owner."""
        result = run_seed(SEEDS[0], FAULT_SECONDS, PlatformSize(n_zones=3))
        assert result.violations == []
        assert any(planned.name == "evacuate_zone" for planned in result.schedule)

    def test_no_promise_is_broken_around_restarts(self):
        """Guards against promises that restarts of workers under their ids break."""
        result = run_seed(SEEDS[0], FAULT_SECONDS, PlatformSize(), plan="restarts")
        assert result.violations == []
        assert any(planned.name == "restart_workers" for planned in result.schedule)


class TestOutput:
    @pytest.fixture
    def parent(self, monkeypatch, tmp_path):
        """Return the folder that takes temporary files; shorten the runs."""
        monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
        monkeypatch.setattr(run, "RECOVERY_SECONDS", 0.0)
        monkeypatch.setattr(run, "restart_all", lambda environment: [])
        fault = PlannedFault(0.5, "reload_settings", 0.0)
        monkeypatch.setattr(run, "draw_schedule", lambda rng, seconds: [fault])
        monkeypatch.setattr(run, "draw_series", lambda rng, seconds: [])
        return tmp_path

    def test_a_failed_run_keeps_what_explains_it(self, parent, monkeypatch):
        """Guards against failures that cannot be traced for want of the output."""
        monkeypatch.setattr(run, "find_violations", lambda events, jobs: ["TWICE: x"])
        result = run_seed(3, 1.0, PlatformSize(n_daemons=1, n_vms=1))
        assert result.folder.parent == parent
        names = {path.name for path in result.folder.iterdir()}
        assert {"platform-0.log", "entry-0-1.log", "entry-0.ini", "soak.log"} <= names
        lines = (result.folder / "soak.log").read_text().splitlines()
        for event in ("job submitted", "job checked", "violation"):
            assert any(f'event="{event}"' in line for line in lines) or any(
                f"event={event}" in line for line in lines
            )
        schedule = json.loads((result.folder / "schedule.json").read_text())
        assert len(schedule) == len(result.schedule)
        assert (result.folder / "events.jsonl").exists()

    def test_a_passing_run_leaves_nothing_behind(self, parent, monkeypatch):
        """Guards against output that fills the disk run after run."""
        passed = SoakResult(3, [], [], 0, 0, 0, None)
        monkeypatch.setattr(run, "_run_plan", lambda *arguments: passed)
        assert run_seed(3, 1.0, PlatformSize()) == passed
        assert list(parent.iterdir()) == []

    def test_a_run_that_breaks_off_keeps_its_output(self, parent, monkeypatch):
        """Guards against runs that do not begin and leave no reason behind."""

        def fail(environment):
            raise RuntimeError("daemons not ready")

        monkeypatch.setattr(SoakEnvironment, "start", fail)
        with pytest.raises(RuntimeError) as raised:
            run_seed(3, 1.0, PlatformSize())
        (folder,) = parent.iterdir()
        assert str(folder) in raised.value.__notes__[0]
        assert (folder / "schedule.json").exists()

    def test_a_run_that_breaks_off_ends_its_threads(self, parent, monkeypatch):
        """Guards against a command that hangs instead of showing why a run broke."""

        def fail(environment, rng):
            raise RuntimeError("fault failed")

        monkeypatch.setattr(SoakEnvironment, "start", lambda environment: None)
        monkeypatch.setattr(load, "REQUEST_TIMEOUT_SECONDS", 0.1)
        monkeypatch.setitem(FAULT_BY_NAME, "reload_settings", fail)
        n_threads = threading.active_count()
        with pytest.raises(RuntimeError):
            run_seed(3, 1.0, PlatformSize())
        assert threading.active_count() == n_threads
