"""Discrete-event simulation of processes that run ``policy/freshness/``.

Each process runs the same ``Freshness`` code as the daemon, on a clock of its own.
Links can fail and recover, and messages can be lost or arrive seconds late. A message
to a paused process is handled when the process resumes.
"""

import heapq
import random
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Any, NamedTuple

from catkinport.membership.pending_changes import (
    PendingChanges,
    members_to_acknowledge,
)
from catkinport.policy.freshness import (
    Freshness,
    FreshnessTiming,
    PeerAnswer,
    View,
    ViewMember,
)

# ``without_store``, 1800 s by default, is short here so that a run of 60 s reaches it.
TIMING = FreshnessTiming(without_store=15.0)
LONGEST_REQUEST_SECONDS = 2.0

FreshnessType = Callable[..., Freshness]


class StoreState(NamedTuple):
    """What one read of the store returns."""

    revision: int
    view: View


class Store:
    """Simulated store with the configuration's revision and the roster."""

    def __init__(self) -> None:
        self.revision = 0
        self.version = 0
        self.member_by_id: dict[str, ViewMember] = {}

    def read(self) -> StoreState:
        """Return a consistent snapshot."""
        return StoreState(self.revision, View(self.version, dict(self.member_by_id)))

    def register(self, member_id: str) -> StoreState:
        """Add a member."""
        if member_id not in self.member_by_id:
            self.member_by_id[member_id] = ViewMember("entry", member_id, "z")
            self.version += 1
        return self.read()

    def evict(self, member_ids: list[str]) -> None:
        """Mark members as evicted."""
        for member_id in member_ids:
            member = self.member_by_id.get(member_id)
            if member is not None and not member.is_evicted:
                self.member_by_id[member_id] = member._replace(is_evicted=True)
                self.version += 1

    def remove(self, member_ids: list[str]) -> None:
        """Remove members."""
        for member_id in member_ids:
            if self.member_by_id.pop(member_id, None) is not None:
                self.version += 1

    def commit(self, expected: StoreState) -> int | None:
        """Commit and return the next revision; ``None`` if ``expected`` is outdated."""
        current = (self.revision, self.version)
        if current != (expected.revision, expected.view.roster_version):
            return None
        self.revision += 1
        return self.revision


class Simulation:
    """Clock, links, store and processes of one simulated run.

    Args:
        seed: seed of all delays and clock rates.
        freshness_type: the state machine under test.
        late_share: share of messages that arrive up to 4 s late.
        lost_share: share of messages that are lost.

    Attributes:
        down_links: pairs of process numbers whose link is down.
        numbers_without_store: numbers of the processes that cannot reach the store.
        acknowledged_revision: newest revision that an operator was told is in force.
    """

    def __init__(
        self,
        seed: int,
        freshness_type: FreshnessType = Freshness,
        late_share: float = 0.0,
        lost_share: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.freshness_type = freshness_type
        self.late_share = late_share
        self.lost_share = lost_share
        self.time = 0.0
        self.store = Store()
        self.is_store_down = False
        self.processes: list[Process] = []
        self.down_links: set[frozenset[int]] = set()
        self.numbers_without_store: set[int] = set()
        # Processes of a partition reach one another, but neither the store nor others.
        self.partitions: list[frozenset[int]] = []
        self.acknowledged_revision = 0
        self.n_acknowledged = 0
        self.violations: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``seconds``."""
        self._n_events += 1
        heapq.heappush(self._events, (self.time + seconds, self._n_events, action))

    def run_until(self, end: float) -> None:
        """Handle events up to the time ``end``; check the invariants after each."""
        while self._events and self._events[0][0] <= end:
            self.time, _, action = heapq.heappop(self._events)
            action()
            self._check()
        self.time = end

    def start_process(self) -> "Process":
        """Start a process, which registers as a new member."""
        process = Process(self, len(self.processes))
        self.processes.append(process)
        process.start()
        return process

    def alive(self) -> list["Process"]:
        """Return the processes that neither crashed nor left."""
        return [process for process in self.processes if process.is_alive]

    def send(self, source: "Process", target: "Process", action: Callable) -> None:
        """Run ``action`` at ``target`` when the message arrives, if it does."""

        def arrive() -> None:
            if self._is_linked(source.number, target.number):
                target.run(action)

        self._transmit(self._is_linked(source.number, target.number), arrive)

    def call_store(
        self, source: "Process", operation: Callable[[], Any], on_done: Callable
    ) -> None:
        """Run ``operation`` at the store; ``on_done`` gets its result or ``None``."""

        def can_reach() -> bool:
            return self._reaches_store(source.number)

        def arrive() -> None:
            if not can_reach():
                return
            result = operation()
            self._transmit(can_reach(), lambda: source.run(lambda: on_done(result)))

        if can_reach():
            self._transmit(True, arrive)
        else:
            self.after(0.2, lambda: source.run(lambda: on_done(None)))

    def acknowledge(self, revision: int) -> None:
        """Record that an operator was told that ``revision`` is in force."""
        self.n_acknowledged += 1
        self.acknowledged_revision = max(self.acknowledged_revision, revision)

    def _is_linked(self, first: int, second: int) -> bool:
        if frozenset((first, second)) in self.down_links:
            return False
        return all((first in p) == (second in p) for p in self.partitions)

    def _reaches_store(self, number: int) -> bool:
        is_partitioned = any(number in partition for partition in self.partitions)
        is_cut_off = number in self.numbers_without_store or is_partitioned
        return not self.is_store_down and not is_cut_off

    def _transmit(self, is_up: bool, arrive: Callable[[], None]) -> None:
        if not is_up or self.rng.random() < self.lost_share:
            return
        is_late = self.rng.random() < self.late_share
        self.after(self.rng.uniform(0.1, 4.0) if is_late else self._delay(), arrive)

    def _delay(self) -> float:
        return self.rng.uniform(0.001, 0.02)

    def _check(self) -> None:
        running = [p for p in self.processes if p.is_alive and not p.is_paused]
        for process in running:
            freshness = process.freshness
            if freshness is None or not freshness.is_fresh(process.now()):
                continue
            if freshness.held_revision < self.acknowledged_revision:
                self.violations.append(
                    f"{self.time:.3f} s: {process.member_id} relies on revision "
                    f"{freshness.held_revision}, acknowledged is "
                    f"{self.acknowledged_revision}"
                )
            self._check_eviction(process, running)

    def _check_eviction(self, holder: "Process", running: list["Process"]) -> None:
        for process in running:
            if process.freshness is None or process is holder:
                continue
            at = process.freshness.eviction_in_force_at(holder.member_id)
            if at is not None and at <= process.now():
                self.violations.append(
                    f"{self.time:.3f} s: {holder.member_id} holds a lease though "
                    f"{process.member_id} counts its eviction as in force"
                )


class Process:
    """One daemon: drives its ``Freshness`` as the membership actor does."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.freshness: Freshness | None = None
        self.member_id = ""
        self.is_alive = True
        self.is_paused = False
        self._n_registrations = 0
        self._deferred: list[Callable[[], None]] = []
        self._pending = PendingChanges()
        self._rate = simulation.rng.uniform(0.99, 1.01)
        self._offset = simulation.rng.uniform(0.0, 1000.0)

    def now(self) -> float:
        """Return the time on the clock of this process."""
        return self._offset + self._rate * self.simulation.time

    def run(self, action: Callable[[], None]) -> None:
        """Run ``action`` now, or on resumption if paused; drop it after the end."""
        if not self.is_alive:
            return
        if self.is_paused:
            self._deferred.append(action)
            return
        action()

    def start(self) -> None:
        """Register and begin to tick."""
        self._register()
        self.simulation.after(TIMING.renewal, self._tick_event)

    def crash(self) -> None:
        """End the process without notice to peers or the store."""
        self.is_alive = False

    def pause(self, seconds: float) -> None:
        """Pause the process for ``seconds``."""
        if not self.is_paused:
            self.is_paused = True
            self.simulation.after(seconds, self._resume)

    def leave(self) -> None:
        """Notify the peers, remove the row if the store answers, and end."""
        freshness = self.freshness
        if freshness is None or freshness.is_stopping:
            return
        view = freshness.stop(self.now())
        leaving_id, revision = self.member_id, freshness.known_revision
        for peer in self._peers(view.live_ids()):
            self.simulation.send(
                self, peer, lambda p=peer: p.on_leave(leaving_id, revision, view)
            )
        store = self.simulation.store
        self.simulation.call_store(
            self, lambda: store.remove([leaving_id]), lambda r: None
        )
        self.simulation.after(1.0, self.crash)

    def accept_change(self) -> None:
        """Commit the next revision and acknowledge it once it is in force."""
        if self.freshness is None or not self.freshness.may_accept_changes(self.now()):
            return
        store, member_id = self.simulation.store, self.member_id
        committed: dict[str, int] = {}

        def commit(expected: StoreState) -> None:
            record = expected.view.member_by_id.get(member_id)
            if record is None or record.is_evicted:
                return

            def write() -> StoreState | None:
                revision = store.commit(expected)
                if revision is not None:
                    committed["revision"] = revision
                return expected if revision is not None else None

            self.simulation.call_store(self, write, on_written)
            # A lost answer is resolved by reading the row back.
            self.simulation.after(1.5, lambda: self.run(read_back))

        def on_written(expected: StoreState | None) -> None:
            if expected is not None:
                self._await_in_force(committed["revision"], expected.view)

        def read_back() -> None:
            self.simulation.call_store(self, store.read, on_read_back)

        def on_read_back(state: StoreState | None) -> None:
            if state is not None and "revision" in committed:
                self._await_in_force(committed["revision"], state.view)

        def on_read(state: StoreState | None) -> None:
            if state is not None:
                commit(state)

        self.simulation.call_store(self, store.read, on_read)

    def on_leave(self, peer_id: str, revision: int, view: View) -> None:
        """Handle the notice from a peer that it is leaving."""
        if self.freshness is not None:
            self.freshness.on_leave(peer_id, revision, view, self.now())

    def answer(self, peer_id: str, revision: int, view: View) -> PeerAnswer | None:
        """Answer a peer that asks for confirmation; ``None`` before registration."""
        if self.freshness is None:
            return None
        self.freshness.on_peer_request(peer_id, revision, view, self.now())
        return self.freshness.answer(self.now())

    def _resume(self) -> None:
        self.is_paused = False
        deferred, self._deferred = self._deferred, []
        # After a pause, timers may run before the messages that arrived during it.
        self.simulation.rng.shuffle(deferred)
        for action in deferred:
            self.run(action)

    def _tick_event(self) -> None:
        if not self.is_alive:
            return
        self.run(self._tick)
        self.simulation.after(TIMING.renewal / self._rate, self._tick_event)

    def _tick(self) -> None:
        freshness = self.freshness
        if freshness is None:
            self._register()
            return
        freshness.tick(self.now())
        self._read_store()
        self._ask_peers()
        self._change_roster(freshness)
        self._finish_pending()

    def _register(self) -> None:
        self._n_registrations += 1
        member_id = f"{self.number}.{self._n_registrations}"
        store = self.simulation.store

        def on_registered(state: StoreState | None) -> None:
            if state is None or self.freshness is not None:
                return
            self.member_id = member_id
            self.freshness = self.simulation.freshness_type(
                member_id, state.view, self.now(), state.revision, TIMING
            )
            self._read_store()
            self._ask_peers()

        self.simulation.call_store(
            self, lambda: store.register(member_id), on_registered
        )

    def _read_store(self) -> None:
        sent_at, freshness = self.now(), self.freshness

        def on_read(state: StoreState | None) -> None:
            if self.freshness is not freshness or freshness is None:
                return
            if state is None:
                freshness.on_store_failed()
                return
            freshness.on_revision_held(state.revision, self.now())
            freshness.on_store_read(sent_at, self.now(), state.revision, state.view)
            if freshness.is_evicted and not freshness.is_stopping:
                self._register_anew()

        self.simulation.call_store(self, self.simulation.store.read, on_read)

    def _register_anew(self) -> None:
        for in_force in self._pending.take_all():
            in_force.cancel()
        self.freshness = None
        self._register()

    def _ask_peers(self) -> None:
        freshness = self.freshness
        if freshness is None:
            return
        sent_at, own_id = self.now(), self.member_id
        revision, view = freshness.known_revision, freshness.view
        for peer in self._peers(freshness.peers_to_ask(sent_at)):

            def reply(peer: Process = peer) -> None:
                answer = peer.answer(own_id, revision, view)
                if answer is not None:
                    self.simulation.send(
                        peer, self, lambda: self._on_answer(peer, answer, sent_at)
                    )

            self.simulation.send(self, peer, reply)

    def _on_answer(self, peer: "Process", answer: PeerAnswer, sent_at: float) -> None:
        freshness = self.freshness
        if freshness is None or answer.member_id not in freshness.view.member_by_id:
            return
        freshness.on_peer_answer(answer, sent_at, self.now())
        self._ask_peers()
        if answer.revision > freshness.held_revision:
            self.simulation.send(self, peer, lambda: self._fetch(peer))

    def _fetch(self, peer: "Process") -> None:
        if peer.freshness is not None:
            held = peer.freshness.held_revision
            self.simulation.send(peer, self, lambda: self._record_held(held))

    def _record_held(self, revision: int) -> None:
        if self.freshness is not None:
            self.freshness.on_revision_held(revision, self.now())

    def _change_roster(self, freshness: Freshness) -> None:
        store = self.simulation.store
        silent = freshness.ids_to_evict(self.now())
        if silent:
            self.simulation.call_store(
                self, lambda: store.evict(silent), lambda r: None
            )
        ended = freshness.completed_evictions(self.now(), LONGEST_REQUEST_SECONDS)
        if ended:
            self.simulation.call_store(
                self, lambda: store.remove(ended), lambda r: None
            )

    def _await_in_force(self, revision: int, view: View) -> None:
        freshness = self.freshness
        if freshness is None:
            return
        freshness.on_revision_held(revision, self.now())
        missing = members_to_acknowledge(freshness, view.member_by_id, self.now())
        in_force: Future[float] = Future()
        in_force.add_done_callback(
            lambda f: None if f.cancelled() else self.simulation.acknowledge(revision)
        )
        self._pending.add(revision, missing, in_force)
        for peer in self._peers(freshness.view.live_ids() - {self.member_id}):
            self.simulation.send(self, peer, lambda p=peer: self._announce(p, revision))
        self._finish_pending()

    def _announce(self, peer: "Process", revision: int) -> None:
        if peer.freshness is None:
            return
        peer.freshness.on_revision_held(revision, peer.now())
        peer_id, held = peer.member_id, peer.freshness.held_revision
        self.simulation.send(peer, self, lambda: self._on_acknowledged(peer_id, held))

    def _on_acknowledged(self, peer_id: str, held_revision: int) -> None:
        self._pending.acknowledge(peer_id, held_revision)
        self._finish_pending()

    def _finish_pending(self) -> None:
        if self.freshness is None:
            return
        now = self.now()
        for in_force in self._pending.take_finished(now, self.freshness.in_force_at):
            in_force.set_result(now)

    def _peers(self, member_ids: Any) -> list["Process"]:
        by_id: Mapping[str, Process] = {
            p.member_id: p for p in self.simulation.processes
        }
        return [by_id[m] for m in sorted(member_ids) if m in by_id]
