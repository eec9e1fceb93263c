"""Entries that share an in-memory table and serve real sockets, for tests."""

import time
from concurrent.futures import ThreadPoolExecutor

import urllib3

from ...adapters import HttpBackendServers
from ...membership.interface import MemberRecord, MembershipSnapshot
from ...ports import Reason, Transaction, Unavailable, Write
from ...runtime import BootTimeClock, HttpServer, Metrics
from ...settings.environment import (
    Account,
    Environment,
    Key,
    Maintenance,
    Pool,
    Queue,
    Service,
    Team,
)
from ...settings.keys import hash_secret
from ...standins import MemoryTable
from ...standins.backend_server import BackendServerStandin
from ...state import pool_key
from ..engine import EntryEngine
from ..services import EntryServices

SECRET = "s" * 43
SALT = "0a" * 16
AUTHORIZATION = {"Authorization": f"Bearer k.{SECRET}"}
LOST_ANSWER = Unavailable(Reason.CONNECTION_LOST, "table-commit", "", "", True)
STORE_DOWN = Unavailable(Reason.STORE_UNAVAILABLE, "table-commit")


def build_environment(max_slots=8, progress_seconds=3.0, max_waiting=50):
    """Return a configuration with a keyed queue ``q`` and an open queue ``o``."""
    key = Key("k", "acc", "blue", *hash_secret(SECRET, SALT))
    service = Service("s", "p", 8, 60, 10.0, max_waiting, progress_seconds)
    teams = {
        "blue": Team("blue", 1.0, max_slots, 100),
        "open": Team("open", 1.0, 4, 100),
    }
    queues = [
        Queue("q", False, True, "s", "p", ("blue",), ""),
        Queue("o", True, True, "s", "p", (), "open"),
    ]
    return Environment(
        teams,
        {"acc": Account("acc", "blue")},
        {"k": key},
        {},
        {"s": service},
        {queue.name: queue for queue in queues},
        {"p": Pool("p", 1, False, 0)},
        Maintenance(56, 60, 60),
    )


class SkewedClock(BootTimeClock):
    """The real clock plus an offset that a test can advance."""

    offset = 0.0

    def now(self):
        return super().now() + self.offset


class FaultyTable:
    """A table whose commits can fail before or after they take effect."""

    def __init__(self, table):
        self._table = table
        self.n_lost_answers = 0
        self.is_down = False

    def read(self, row_keys):
        return STORE_DOWN if self.is_down else self._table.read(row_keys)

    def commit(self, transaction):
        return self.commit_batch([transaction])[0]

    def commit_batch(self, transactions):
        if self.is_down:
            return [STORE_DOWN] * len(transactions)
        outcomes = self._table.commit_batch(transactions)
        if self.n_lost_answers > 0:
            self.n_lost_answers -= 1
            return [LOST_ANSWER] * len(transactions)
        return outcomes


class MemoryObjects:
    """An object store in memory."""

    def __init__(self):
        self.content_by_name = {}

    def put(self, name, content):
        self.content_by_name[name] = content

    def get(self, name):
        return self.content_by_name.get(name)


class FakeMembership:
    """A membership whose freshness lease is valid until a test ends it."""

    def __init__(self, cluster, member_id):
        self._cluster = cluster
        self.member_id = member_id
        self.is_fresh = True
        self.notices = []
        self.n_lost_notices = 0
        self.return_handler = None

    def snapshot(self):
        expires_at = self._cluster.clock.now() + 2.0 if self.is_fresh else 0.0
        return MembershipSnapshot(
            self.member_id,
            expires_at,
            1,
            self._cluster.environment,
            "",
            self._cluster.generation,
            dict(self._cluster.record_by_id),
            True,
        )

    def subscribe(self, callback):
        pass

    def set_return_request_handler(self, handler):
        self.return_handler = handler

    def request_allowance_return(self, member_id, team, resource, wanted):
        membership = self._cluster.membership_by_id.get(member_id)
        if membership is None:
            return STORE_DOWN
        return membership.return_handler(team, resource, wanted)

    def notify_queue(self, controller_id, queue, job_id):
        self.notices.append((controller_id, queue, job_id))
        self.n_lost_notices -= 1
        return self.n_lost_notices < 0


class Entry:
    """An engine behind a real HTTP server."""

    def __init__(self, cluster, member_id):
        self.table = FaultyTable(cluster.table)
        self.membership = FakeMembership(cluster, member_id)
        cluster.membership_by_id[member_id] = self.membership
        cluster.record_by_id[member_id] = MemberRecord(member_id, "entry", "", "", "z1")
        self.services = EntryServices(
            self.table,
            cluster.objects,
            self.membership,
            cluster.clock,
            time.time,
            Metrics(),
            "z1",
            lambda service: HttpBackendServers(
                cluster.clock, service.n_connections, service.progress_seconds
            ),
        )
        self.engine = EntryEngine(self.services)
        self.server = HttpServer(self.engine.application, "127.0.0.1", 0, 40)
        self.server.start()
        host, _, port = self.server.address.partition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=40, retries=False, timeout=15
        )

    def call(
        self,
        path="/work",
        method="POST",
        queue="q",
        body=b"x",
        preload_content=True,
        **headers,
    ):
        """Send a request with the key; underscores in header names become dashes."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self._pool.request(
            method,
            f"/v1/queues/{queue}/requests{path}",
            body=body,
            headers={**AUTHORIZATION, **named},
            preload_content=preload_content,
        )

    def api(self, method, path, headers=AUTHORIZATION, **options):
        """Send a request to any path of the callers' API."""
        return self._pool.request(method, path, headers=headers, **options)

    def wait_for_pools(self):
        """Wait until the entry has read its pools; it refuses all requests before."""
        self.engine._pools.ask(None)

    def stop(self):
        self.engine.stop()
        self.server.stop()


class EntryCluster:
    """A pool of backend servers and entries in front of it."""

    def __init__(self, n_servers=2, n_entries=1, **environment):
        self.clock = SkewedClock()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.environment = build_environment(**environment)
        self.generation = 1
        self.record_by_id = {}
        self.membership_by_id = {}
        self.servers = [BackendServerStandin() for _ in range(n_servers)]
        for server in self.servers:
            server.start()
        self.serve([server.address for server in self.servers])
        self.entries = [Entry(self, f"e-{i}") for i in range(n_entries)]
        for entry in self.entries:
            entry.wait_for_pools()

    def serve(self, addresses):
        """Write the backend servers of the pool to its row."""
        vms = {
            f"vm-{i}": {
                "backend_address": address,
                "worker_address": "",
                "zone": "z1",
                "rack": "r1",
            }
            for i, address in enumerate(addresses)
        }
        row = {"serving_vm_by_id": vms, "reason_by_disrupted_vm": {}}
        self.table.commit(Transaction([], [Write(pool_key("p"), row)]))
        self.generation += 1

    def set_faults(self, **faults):
        """Set the same faults in every server."""
        for server in self.servers:
            server.faults.update(faults)

    def list_executions(self):
        """Return the executions on all servers."""
        return [e for server in self.servers for e in server.list_executions()]

    def stop(self):
        """Stop all entries and servers."""
        self.set_faults(is_silent=False)
        with ThreadPoolExecutor() as executor:
            for stopped in (*self.entries, *self.servers):
                executor.submit(stopped.stop)


def wait_for(condition, seconds=10.0):
    """Wait until ``condition`` returns true, for at most ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come true in time"
        time.sleep(0.01)
