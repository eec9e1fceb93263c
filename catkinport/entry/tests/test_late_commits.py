"""Tests of an entry whose commits are carried out after it has gone on without them."""

import pytest

from ...policy.limits import HolderNeed
from ...ports import Reason, Unavailable
from ...standins import LateTable
from ...state import allowance_key, job_key
from ..allowances import N_ATTEMPTS, RESOURCE, AllowanceActor
from ..claims import Claim, Claims
from ..early_cancels import MAX_STORED_PER_TEAM, EarlyCancels
from ..job_requests import MAX_INLINE_INPUT_CHARACTERS
from ..jobs import N_ATTEMPTS as N_JOB_ATTEMPTS
from ..messages import (
    AllowanceRead,
    CommitClaim,
    ListNeeds,
    LowerAllowance,
    RetryOnTick,
    Shortage,
    TeamNeed,
)
from .cluster import AUTHORIZATION, STORE_DOWN, EntryCluster, MemoryObjects

LARGE_CHARACTERS = MAX_INLINE_INPUT_CHARACTERS + 1
ALLOWANCE = allowance_key("blue", RESOURCE)


class RefusingTable:
    """A table that can refuse all commits, and do something after the next read."""

    def __init__(self, table):
        self._table = table
        self.is_refusing = False
        self.after_read = None

    def read(self, row_keys):
        rows = self._table.read(row_keys)
        after_read, self.after_read = self.after_read, None
        if after_read is not None:
            after_read()
        return rows

    def commit(self, transaction):
        return STORE_DOWN if self.is_refusing else self._table.commit(transaction)


class InlineWriter:
    """Does the work of the `ClaimWriter` in the thread of the test."""

    def __init__(self, table):
        self._table = table
        self._retries = []

    def tell(self, message):
        match message:
            case CommitClaim():
                message.future.set_result(self._table.commit(message.transaction))
            case RetryOnTick():
                self._retries.append(message.operation)

    def run_retries(self):
        self._retries = [retry for retry in self._retries if not retry()]


class LateClaims:
    """The claims of an entry whose table holds commits back."""

    def __init__(self, cluster):
        services = cluster.entries[0].services
        self.store = RefusingTable(cluster.table)
        self.table = LateTable(self.store)
        self.writer = InlineWriter(self.table)
        self.claims = Claims(services._replace(table=self.table), self.writer)

    def take(self):
        return self.claims.take("blue", "one", "digest")


@pytest.fixture
def cluster():
    cluster = EntryCluster(n_servers=1)
    yield cluster
    cluster.stop()


class TestLateClaim:
    """A claim without an answer may be stored after its request was given up."""

    def test_late_claim_does_not_block_its_key(self, cluster):
        """Guards against "unknown" for good after a request that was not run."""
        late = LateClaims(cluster)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_late_claim_after_a_refused_retry_does_not_block_its_key(self, cluster):
        """Guards against a claim that is forgotten when its second commit is refused.

        The first commit may still be carried out then.
        """
        late = LateClaims(cluster)
        late.table.n_held = 1
        late.store.is_refusing = True
        assert not isinstance(late.take(), Claim)
        late.store.is_refusing = False
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_late_claim_of_a_released_key_does_not_block_it(self, cluster):
        """Guards against a key that a claim carried out after its release blocks."""
        late = LateClaims(cluster)
        claim = late.take()
        late.claims.abandon(claim, is_run_possible=False)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_claim_stored_during_its_release_does_not_block_its_key(self, cluster):
        """Guards against a release that takes its own claim for another attempt's."""
        late = LateClaims(cluster)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        late.store.after_read = late.table.carry_out_held
        late.writer.run_retries()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_release_leaves_the_claim_of_another_attempt(self, cluster):
        """Guards against a second run of a request that another attempt sends."""
        late = LateClaims(cluster)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        assert isinstance(late.take(), Claim)
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert not isinstance(late.take(), Claim)


class FakeDispatcher:
    """Uses the amounts that it is told, and needs what the test sets."""

    def __init__(self):
        self.need = HolderNeed(0, 0)
        self.reading = None

    def ask(self, message):
        if isinstance(message, ListNeeds):
            return {"blue": TeamNeed(self.need, True, self.reading)}
        assert isinstance(message, LowerAllowance)
        self.reading = self.reading._replace(own=min(self.reading.own, message.amount))
        return self.need.in_use

    def tell(self, message):
        assert isinstance(message, AllowanceRead)
        self.reading = message.reading


class LateAllowances:
    """The allowances of an entry whose table holds commits back."""

    def __init__(self, cluster):
        self.table = LateTable(cluster.table)
        self.dispatcher = FakeDispatcher()
        services = cluster.entries[0].services._replace(table=self.table)
        self._actor = AllowanceActor.start(services, self.dispatcher)

    def balance(self, n_wanted):
        """Adjust the amount to the need."""
        self.dispatcher.need = HolderNeed(0, n_wanted)
        self._actor.ask(Shortage("blue", is_changed=True))

    def stored_amount(self):
        row = self.table.read([ALLOWANCE])[ALLOWANCE]
        return row.value["amount_by_holder"].get("e-0", 0)

    def stop(self):
        self._actor.stop()


@pytest.fixture
def allowances(cluster):
    allowances = LateAllowances(cluster)
    yield allowances
    allowances.stop()


class TestLateAllowance:
    """A return of units without an answer may be stored after they are used again."""

    def test_units_of_a_late_return_are_not_used(self, allowances):
        """Guards against entries that together exceed the team's limit.

        The units that the late return frees may be taken by another entry.
        """
        allowances.balance(n_wanted=4)
        assert allowances.dispatcher.reading.own == allowances.stored_amount() == 5
        allowances.table.n_held = N_ATTEMPTS
        allowances.balance(n_wanted=0)
        allowances.balance(n_wanted=4)
        allowances.table.carry_out_held()
        assert allowances.dispatcher.reading.own <= allowances.stored_amount()

    def test_units_are_used_again_after_a_late_return(self, allowances):
        """Guards against an entry that never uses its amount again."""
        allowances.balance(n_wanted=4)
        allowances.table.n_held = N_ATTEMPTS
        allowances.balance(n_wanted=0)
        allowances.table.carry_out_held()
        allowances.balance(n_wanted=4)
        assert allowances.dispatcher.reading.own == allowances.stored_amount() == 5


class LateObjects(MemoryObjects):
    """An object store that holds writes back without an answer."""

    def __init__(self):
        super().__init__()
        self.n_held = 0
        self._held = []

    def put(self, name, content):
        if self.n_held == 0:
            return super().put(name, content)
        self.n_held -= 1
        self._held.append((name, content))
        return Unavailable(Reason.TIMEOUT, "object-put", may_have_committed=True)

    def carry_out_held(self):
        while self._held:
            super().put(*self._held.pop(0))


class TestLateInput:
    """An input over 32 KB may be stored after the job of a newer submission."""

    @staticmethod
    def submit(cluster, text):
        body = {"command": "sleep", "input": text}
        headers = {**AUTHORIZATION, "Idempotency-Key": "one"}
        path = "/v1/queues/j/jobs"
        return cluster.entries[0].api("POST", path, headers=headers, json=body)

    @staticmethod
    def stored_input(cluster, answer):
        row_key = job_key("j", answer.json()["job_id"])
        row = cluster.table.read([row_key])[row_key].value
        return cluster.objects.get(row["input_reference"]).decode()

    @pytest.fixture
    def cluster(self, cluster):
        queue = cluster.environment.queue_by_name["q"]._replace(name="j")
        queue_by_name = {**cluster.environment.queue_by_name, "j": queue}
        cluster.environment = cluster.environment._replace(queue_by_name=queue_by_name)
        cluster.objects = LateObjects()
        services = cluster.entries[0].services._replace(objects=cluster.objects)
        cluster.entries[0].engine._jobs._services = services
        return cluster

    def test_late_input_of_a_refused_job_does_not_replace_that_of_a_stored_one(
        self, cluster
    ):
        """Guards against a job that runs with the input of another submission."""
        cluster.objects.n_held = 1
        refused = self.submit(cluster, "a" * LARGE_CHARACTERS)
        assert refused.headers["Catkin-Outcome"] == "not-run"
        accepted = self.submit(cluster, "b" * LARGE_CHARACTERS)
        assert accepted.status == 202
        cluster.objects.carry_out_held()
        assert set(self.stored_input(cluster, accepted)) == {"b"}

    def test_key_of_a_stored_job_is_refused_with_another_input(self, cluster):
        """Guards against a second submission that replaces the input of the first."""
        accepted = self.submit(cluster, "a" * LARGE_CHARACTERS)
        assert self.submit(cluster, "b" * LARGE_CHARACTERS).status != 202
        assert self.submit(cluster, "a" * LARGE_CHARACTERS).status == 202
        assert set(self.stored_input(cluster, accepted)) == {"a"}


class TestLateJob:
    """A job without an answer may be stored after its caller has canceled it."""

    HEADERS = {**AUTHORIZATION, "Idempotency-Key": "one"}

    @pytest.fixture
    def entry(self, cluster):
        queue = cluster.environment.queue_by_name["q"]._replace(name="j")
        queue_by_name = {**cluster.environment.queue_by_name, "j": queue}
        cluster.environment = cluster.environment._replace(queue_by_name=queue_by_name)
        entry = cluster.entries[0]
        self.table = LateTable(cluster.table)
        services = entry.services._replace(table=self.table)
        entry.engine._jobs._services = services
        entry.engine._jobs._early_cancels = EarlyCancels(services)
        return entry

    def submit(self, entry):
        path = "/v1/queues/j/jobs"
        body = {"command": "sleep"}
        return entry.api("POST", path, headers=self.HEADERS, json=body)

    def cancel(self, entry, job_id):
        return entry.api("DELETE", f"/v1/queues/j/jobs/{job_id}")

    def test_it_is_not_stored_after_its_cancellation(self, entry):
        """Guards against a job that runs after its caller was told that there is none.

        The cancellation read that there was no job and left nothing behind.
        """
        self.table.n_held = N_JOB_ATTEMPTS
        submitted = self.submit(entry)
        assert submitted.headers["Catkin-Outcome"] == "unknown"
        job_id = submitted.json()["detail"]
        assert self.cancel(entry, job_id).status == 404
        self.table.carry_out_held()
        assert job_key("j", job_id) not in self.table.read([job_key("j", job_id)])
        assert self.submit(entry).status == 410

    def test_a_team_stores_a_bounded_number_of_cancellations(self, entry):
        """Guards against a caller that fills the table service."""
        statuses = [
            self.cancel(entry, f"j-{number:032x}").status
            for number in range(MAX_STORED_PER_TEAM + 1)
        ]
        assert statuses == [404] * MAX_STORED_PER_TEAM + [429]
