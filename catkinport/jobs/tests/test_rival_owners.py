"""Property-based test of former owners that still run beside the present one.

A former owner that is paused, cut off from the store or without its answers does not
know that it was replaced. It goes on under the rules of a doubtful ownership, while its
successor waits for the workers that it has not reached.
"""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ...ports.fleet_workers import EndKind
from .rival_fleet import SLOW_CLOCK_RATE, RivalFleet, SimulatedOwner
from .simulated_store import StoreLink

WORKER_IDS = ("w0", "w1", "w2")
LATER_WORKER_IDS = ("w3", "w4")
DAEMONS = ("d0", "d1", "d2", "d3")
DELIVERIES = ("answered", "answered", "answered", "no answer", "late", "lost")
CLAIM_LINKS = (StoreLink.SOUND, StoreLink.SOUND, StoreLink.LATE, StoreLink.UNANSWERED)
FORMER_OWNERS = ("paused", "killed", "released", "cut", "unanswered", "late")
CYCLE_SECONDS = 0.5
LATE_JOB_SECONDS = 6.0
MAX_LISTING_SECONDS = 2.0
"""Time after a restart by which the list of workers names the new incarnation."""

NEVER_LISTED_SECONDS = 60.0
"""The same for a worker that is cut off from the store, longer than any lease."""

workers = st.sampled_from((*WORKER_IDS, *WORKER_IDS, *LATER_WORKER_IDS))
worker_sets = st.sets(st.sampled_from(WORKER_IDS), min_size=1, max_size=2)
owners = st.integers(0, len(DAEMONS) - 1)
deliveries = st.sampled_from(DELIVERIES)


class RivalOwners(RuleBasedStateMachine):
    """Owners that take over from each other while former ones still run."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = RivalFleet(WORKER_IDS)

    def teardown(self) -> None:
        self.fleet.close()

    @initialize(is_slow=st.booleans(), n_tasks=st.integers(1, 7))
    def begin(self, is_slow: bool, n_tasks: int) -> None:
        if is_slow:
            for worker in self.fleet.worker_by_id.values():
                worker.clock_rate = SLOW_CLOCK_RATE
        self.fleet.submit(n_tasks)
        self.fleet.claim(DAEMONS[0])
        self.fleet.run_all(CYCLE_SECONDS, 3)

    @rule(n_cycles=st.sampled_from([1, 3, 10]), is_latest_first=st.booleans())
    def run_all(self, n_cycles: int, is_latest_first: bool) -> None:
        self.fleet.run_all(CYCLE_SECONDS, n_cycles, is_latest_first)

    @rule(
        index=owners,
        start=deliveries,
        stop=deliveries,
        hold=deliveries,
        plans_first=st.booleans(),
    )
    def run_cycle(
        self, index: int, start: str, stop: str, hold: str, plans_first: bool
    ) -> None:
        """Let one owner run alone, with lost or late calls."""
        name = self._name_of(index)
        if name:
            calls = self.fleet.owner_by_name[name].workers
            calls.delivery_by_call = {"start": start, "stop": stop, "hold": hold}
            self.fleet.run_cycle(name, plans_first)
            calls.delivery_by_call = {}

    @rule(n_tasks=st.integers(1, 3))
    def submit(self, n_tasks: int) -> None:
        self.fleet.submit(n_tasks)

    @rule(
        index=owners,
        link=st.sampled_from(StoreLink),
        cut_ids=worker_sets,
        is_answer_lost=st.booleans(),
        is_paused=st.booleans(),
    )
    def change_links(
        self,
        index: int,
        link: StoreLink,
        cut_ids: set[str],
        is_answer_lost: bool,
        is_paused: bool,
    ) -> None:
        name = self._name_of(index)
        if name:
            owner = self.fleet.owner_by_name[name]
            owner.store.link = link
            owner.is_paused = is_paused
            owner.workers.cut_off(cut_ids, is_answer_lost)

    @rule(
        former=st.sampled_from(FORMER_OWNERS),
        claim_link=st.sampled_from(CLAIM_LINKS),
        is_same_daemon=st.booleans(),
        cut_ids=worker_sets,
        is_split=st.sampled_from([True, True, False]),
        n_late_tasks=st.integers(0, 2),
        n_cycles=st.sampled_from([0, 1, 10]),
    )
    def take_over(
        self,
        former: str,
        claim_link: StoreLink,
        is_same_daemon: bool,
        cut_ids: set[str],
        is_split: bool,
        n_late_tasks: int,
        n_cycles: int,
    ) -> None:
        """End the latest owner or let it run on, and let a daemon claim.

        A job that was accepted before may be stored once the new owner has begun.

        If the network is split, the former owners reach just the workers from which the
        new one is cut off.
        """
        names = list(self.fleet.owner_by_name)
        if names:
            self._end_or_cut(names[-1], former)
        if is_split:
            for owner in self.fleet.owner_by_name.values():
                owner.workers.cut_off(self.fleet.worker_by_id.keys() - cut_ids)
        free = [name for name in DAEMONS if name not in self.fleet.owner_by_name]
        if not free:
            return
        name = names[-1] if is_same_daemon and names and names[-1] in free else free[0]
        if self.fleet.claim(name, claim_link) or self.fleet.claim(name):
            self.fleet.owner_by_name[name].workers.cut_off(cut_ids)
            self.fleet.run_cycle(name)
            if n_late_tasks:
                self.fleet.submit(n_late_tasks, LATE_JOB_SECONDS)
            self.fleet.run_all(CYCLE_SECONDS, n_cycles)

    @rule(worker_id=workers)
    def crash_or_restart(self, worker_id: str) -> None:
        if worker_id in self.fleet.down_ids:
            self.fleet.restart(worker_id)
        else:
            self.fleet.crash(worker_id)

    @rule(worker_id=workers, is_cut_off=st.booleans())
    def crash_briefly(self, worker_id: str, is_cut_off: bool) -> None:
        """Restart a worker; the latest owner may lose it once it has tasks again."""
        self.fleet.crash(worker_id)
        self.fleet.restart(worker_id)
        if is_cut_off:
            self.fleet.run_all(CYCLE_SECONDS, 2)
            for owner in list(self.fleet.owner_by_name.values())[-1:]:
                owner.workers.cut_off([worker_id])

    @rule(
        worker_id=workers,
        has_stored_end=st.booleans(),
        n_tasks=st.integers(0, 4),
        start=deliveries,
        is_first_answer_held=st.booleans(),
        has_new_end=st.booleans(),
        listed_after=st.sampled_from([0.0, MAX_LISTING_SECONDS]),
        then=st.sampled_from(["reached", "cut off", "killed", "released"]),
        n_cycles=st.sampled_from([0, 1, 10]),
    )
    def restart_during_polls(
        self,
        worker_id: str,
        has_stored_end: bool,
        n_tasks: int,
        start: str,
        is_first_answer_held: bool,
        has_new_end: bool,
        listed_after: float,
        then: str,
        n_cycles: int,
    ) -> None:
        """Restart a worker; calls for the former incarnation reach the new one.

        The latest owner plans before its poll fails that was under way at the restart,
        perhaps while the answer to another one is under way. Then the worker may be cut
        off, perhaps from a daemon that succeeds it at once. The former owners call the
        worker only after their polls have failed.
        """
        owners_by_age = list(self.fleet.owner_by_name.values())
        owner = owners_by_age[-1] if owners_by_age else None
        if owner and owner.is_paused:
            owner = None
        if has_stored_end and owner:
            self.fleet.end_a_run(worker_id, EndKind.DONE)
            owner.poll_workers()
        self.fleet.restart_unnoticed(worker_id, is_listed=False)
        if n_tasks:
            self.fleet.submit(n_tasks)
        if owner:
            self._plan_after_restart(owner, worker_id, start, is_first_answer_held)
        if has_new_end:
            self.fleet.end_a_run(worker_id, EndKind.DONE)
        for other in self.fleet.owner_by_name.values():
            other.lose_poll(worker_id)
        self.fleet.list_incarnation(worker_id, listed_after)
        if owner and then != "reached":
            owner.workers.cut_off([worker_id])
        if then in ("killed", "released"):
            self.take_over(then, StoreLink.SOUND, True, {worker_id}, False, 0, 0)
        self.fleet.run_all(CYCLE_SECONDS, n_cycles)

    @rule(worker_id=st.sampled_from(LATER_WORKER_IDS))
    def join(self, worker_id: str) -> None:
        self.fleet.join(worker_id)

    @rule(how=st.sampled_from([EndKind.DONE, EndKind.FAILED]), worker_id=workers)
    def end_a_run(self, how: EndKind, worker_id: str) -> None:
        self.fleet.end_a_run(worker_id, how)

    @rule(is_call=st.booleans())
    def carry_out_late(self, is_call: bool) -> None:
        if is_call:
            self.fleet.carry_out_late_call()
        else:
            self.fleet.store.carry_out_late()

    def _plan_after_restart(
        self, owner: SimulatedOwner, worker_id: str, start: str, is_answer_held: bool
    ) -> None:
        owner.learn_jobs()
        owner.workers.delivery_by_call = {"start": start}
        if is_answer_held:
            owner.plan_before_answer(worker_id, 0.1, may_wait=False)
        else:
            owner.plan()
        owner.workers.delivery_by_call = {}

    def _name_of(self, index: int) -> str:
        names = list(self.fleet.owner_by_name)
        return names[index % len(names)] if names else ""

    def _end_or_cut(self, name: str, how: str) -> None:
        owner = self.fleet.owner_by_name[name]
        if how == "paused":
            owner.is_paused = True
        elif how == "released":
            owner.release()
            self.fleet.restart_daemon(name)
        elif how == "killed":
            self.fleet.restart_daemon(name)
        else:
            owner.store.link = StoreLink(how)

    @invariant()
    def nothing_runs_twice(self) -> None:
        """Check that no task ran twice and none after an end that was noted."""
        assert not self.fleet.violations


class UnnoticedRestarts(RivalOwners):
    """Workers restart at any time, also for former owners that live on.

    A call that was made for a former incarnation is not sent. The list of workers may
    name the new one late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet.binds_calls = True

    @rule(
        worker_id=workers,
        failing_ids=worker_sets,
        listed_after=st.sampled_from([0.0, MAX_LISTING_SECONDS, NEVER_LISTED_SECONDS]),
        is_cut_off=st.booleans(),
        is_former_first=st.booleans(),
    )
    def restart_between_calls(
        self,
        worker_id: str,
        failing_ids: set[str],
        listed_after: float,
        is_cut_off: bool,
        is_former_first: bool,
    ) -> None:
        """Restart a worker; each owner plans before it polls the worker again.

        Runs have failed elsewhere, so that there is something to start. The latest
        owner may be cut off from the worker.
        """
        for failing_id in failing_ids:
            self.fleet.end_a_run(failing_id, EndKind.FAILED)
        owners = list(self.fleet.owner_by_name.values())
        for owner in owners:
            owner.poll_workers()
        self.fleet.restart_unnoticed(worker_id, is_listed=False)
        self.fleet.list_incarnation(worker_id, listed_after)
        if is_cut_off and owners:
            owners[-1].workers.cut_off([worker_id])
        for owner in owners if is_former_first else reversed(owners):
            if not owner.is_paused:
                owner.plan()


class TestRivalOwners:
    @pytest.mark.timeout(300)
    def test_invariants_hold_while_former_owners_live_on(self):
        """Guards against a task that runs twice because two daemons order it."""
        run_state_machine_as_test(
            RivalOwners,
            settings=settings(
                max_examples=100,
                stateful_step_count=40,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )

    @pytest.mark.timeout(300)
    def test_invariants_hold_while_workers_restart_between_calls(self):
        """Guards against a task that runs twice because of a restart nobody noticed.

        Neither a poll without an answer nor the list of workers need show it before an
        owner calls the worker again, is cut off from it or is replaced.
        """
        run_state_machine_as_test(
            UnnoticedRestarts,
            settings=settings(
                max_examples=100,
                stateful_step_count=40,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
