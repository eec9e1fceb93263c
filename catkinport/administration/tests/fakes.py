"""A membership fake on a table in memory, for tests of the API."""

import hashlib

from ...administration import AdministrationContext, build_router
from ...membership.interface import (
    Acceptance,
    MemberRecord,
    MembershipSnapshot,
    RevisionConflict,
)
from ...ports import Condition, ManualClock, Transaction, Write
from ...runtime import Metrics
from ...settings.document import parse_document
from ...settings.environment import Operator
from ...settings.keys import hash_secret
from ...settings.tests.samples import DOCUMENT
from ...standins import MemoryTable
from ...state import CONFIGURATION

SECRET = "S" * 43
SALTED_HASH = hash_secret(SECRET, "0a" * 16)
OPERATOR_DOCUMENT = DOCUMENT.replace(
    f"digest = {'0b' * 32}", f"digest = {SALTED_HASH.digest}"
)
BOOTSTRAP = Operator("first", *SALTED_HASH)


class FakeMembership:
    """A membership that accepts documents by a conditional write, as the real one."""

    def __init__(self, table):
        self._table = table
        self.lease_expires_at = 100.0
        self.notices = []
        self.before_commit = lambda: None

    def snapshot(self):
        row = self._table.read([CONFIGURATION]).get(CONFIGURATION)
        document = row.value["document"] if row else ""
        environment = parse_document(document) if row else None
        revision = row.value["revision"] if row else 0
        member = MemberRecord("m-1", "entry", "127.0.0.1:1", "127.0.0.1:2", "zone-a")
        return MembershipSnapshot(
            "m-1",
            self.lease_expires_at,
            revision,
            environment,
            document,
            7,
            {"m-1": member},
            True,
        )

    def accept_document(self, document, expected_revision, change_id, operator):
        self.before_commit()
        row = self._table.read([CONFIGURATION]).get(CONFIGURATION)
        history = row.value["history"] if row else []
        for record in history:
            if record["change_id"] == change_id:
                return Acceptance(record["revision"], 0.0)
        revision = row.value["revision"] if row else 0
        if revision != expected_revision:
            return RevisionConflict(revision, row.value["digest"])
        record = {
            "revision": revision + 1,
            "digest": hashlib.sha256(document.encode()).hexdigest(),
            "change_id": change_id,
            "accepted_by": "m-1",
            "operator": operator,
        }
        value = {**record, "document": document, "history": [*history, record]}
        condition = Condition(CONFIGURATION, row.version if row else 0)
        self._table.commit(Transaction([condition], [Write(CONFIGURATION, value)]))
        return Acceptance(revision + 1, 0.5)

    def notify_queue(self, controller_id, queue, job_id):
        self.notices.append((controller_id, queue, job_id))
        return True


class FakeDaemon:
    """The administration API on a table in memory."""

    def __init__(self, table=None, bootstrap=BOOTSTRAP):
        self.table = table or MemoryTable()
        self.membership = FakeMembership(self.table)
        self.clock = ManualClock()
        self.not_ready = ""
        self.router = build_router(
            AdministrationContext(
                self.membership,
                self.table,
                self.clock,
                Metrics(),
                lambda: self.not_ready,
                bootstrap,
                wall_clock=lambda: 1e9,
            )
        )

    def write(self, row_key, value):
        self.table.commit(Transaction([], [Write(row_key, value)]))
