"""The actor that assigns slots of backend servers to waiting requests.

A backend server has a fixed number of slots, each of which handles one request at a
time.
"""

import random
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

import pykka

from ..policy.admission import AdmissionQueue
from ..policy.limits import HolderNeed, usable_amount
from ..policy.routing import (
    OutlierTracker,
    ServerLoad,
    choose_server,
    draw_backoff_seconds,
)
from ..ports import NotRun, Reason
from ..settings.environment import Service
from ..state import ServingVm
from . import messages
from .messages import Admit, Grant, Release, TeamNeed
from .services import EntryServices

# An allowance follows the peak demand of one to two windows, not each short dip.
DEMAND_WINDOW_SECONDS = 5.0
_SEED = 20261204


class _PeakDemand:
    """Largest demand of the last 5 to 10 seconds."""

    def __init__(self) -> None:
        self._started_at = 0.0
        self._current = 0
        self._previous = 0

    def observe(self, now: float, demand: int) -> int:
        if now - self._started_at >= 2 * DEMAND_WINDOW_SECONDS:
            self._current = self._previous = 0
            self._started_at = now
        elif now - self._started_at >= DEMAND_WINDOW_SECONDS:
            self._previous, self._current = self._current, 0
            self._started_at = now
        self._current = max(self._current, demand)
        return max(self._current, self._previous)


class _ServiceState:
    """Waiting requests of one service, and the load and health of its servers."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.queue = AdmissionQueue(service.max_waiting)
        self.admit_by_request_id: dict[str, Admit] = {}
        self.in_flight_by_address: Counter[str] = Counter()
        self.backoff_until_by_address: dict[str, float] = {}
        self.outliers = OutlierTracker()

    def n_slots(self, n_servers: int) -> int:
        return n_servers * self.service.n_slots


class DispatchActor(pykka.ThreadingActor):
    """Owns the admission queues, the in-flight counts and the use of allowances.

    An allowance is the part of a team's slot limit that this entry may use; the
    other entries hold the rest.

    Args:
        services: ports and shared objects.
        on_shortage: called with a team that has waiting requests and no free slot
            of its allowance.
        wake_after: asks for a ``Wake`` after the given seconds.
        seed: seed of the routing choices.
    """

    def __init__(
        self,
        services: EntryServices,
        on_shortage: Callable[[str], None],
        wake_after: Callable[[float], None],
        seed: int = _SEED,
    ) -> None:
        super().__init__()
        self._services = services
        self._on_shortage = on_shortage
        self._wake_after = wake_after
        self._rng = random.Random(seed)
        self._state_by_service: dict[str, _ServiceState] = {}
        self._vms_by_pool: dict[str, list[ServingVm]] = {}
        self._in_use_by_team: Counter[str] = Counter()
        self._allowance_by_team: dict[str, messages.AllowanceRead] = {}
        self._ceiling_by_team: dict[str, messages.SetCeiling] = {}
        self._peak_by_team: dict[str, _PeakDemand] = {}

    def on_receive(self, message: Any) -> Any:
        """Handle a message; only ``LowerAllowance`` and ``ListNeeds`` get a reply."""
        match message:
            case Admit():
                return self._on_admit(message)
            case Release():
                return self._on_release(message)
            case messages.Withdraw():
                return self._on_withdraw(message)
            case messages.AllowanceRead():
                return self._on_allowance_read(message)
            case messages.SetCeiling():
                self._ceiling_by_team[message.team] = message
            case messages.LowerAllowance():
                return self._on_lower_allowance(message)
            case messages.ServingChanged():
                return self._on_serving_changed(message)
            case messages.ListNeeds():
                return self._list_needs()
            case messages.Wake():
                return self._dispatch_all()

    def _on_admit(self, message: Admit) -> None:
        now = self._services.clock.now()
        state = self._get_state(message.service)
        request = message.request
        servers = self._list_servers(state)
        if not servers:
            refusal = NotRun(Reason.NO_BACKEND_SERVER, "routing", "", "", 1.0)
            return _resolve(message.future, refusal)
        if message.is_requeued:
            state.queue.requeue(request)
        else:
            offer = state.queue.offer(request, now, state.n_slots(len(servers)))
            # A full queue does not refuse a request that can start at once.
            if offer.refusal is not None and not self._can_start(state, request.team):
                return _resolve(message.future, offer.refusal)
            if offer.refusal is not None:
                state.queue.requeue(request)
            if offer.displaced is not None:
                self._refuse_displaced(state, offer.displaced.request_id)
        state.admit_by_request_id[request.request_id] = message
        self._observe_demand(request.team)
        self._dispatch(state)
        return None

    def _can_start(self, state: _ServiceState, team: str) -> bool:
        is_free = not len(state.queue) and self._has_allowance(team)
        return is_free and self._choose_server(state, frozenset()) is not None

    def _refuse_displaced(self, state: _ServiceState, request_id: str) -> None:
        admit = state.admit_by_request_id.pop(request_id, None)
        if admit is not None:
            detail = "displaced by a team with fewer waiting requests for its weight"
            refusal = NotRun(Reason.QUEUE_FULL, "admission", "", detail, 1.0)
            _resolve(admit.future, refusal)

    def _on_withdraw(self, message: messages.Withdraw) -> None:
        state = self._state_by_service.get(message.service)
        if state is not None:
            state.queue.remove(message.request)
            state.admit_by_request_id.pop(message.request.request_id, None)

    def _on_release(self, message: Release) -> None:
        grant = message.grant
        now = self._services.clock.now()
        self._in_use_by_team[grant.team] -= 1
        state = self._state_by_service[grant.service]
        state.in_flight_by_address[grant.address] -= 1
        if message.is_failure:
            addresses = [server.address for server in self._list_servers(state)]
            state.outliers.record_failure(grant.address, now, addresses)
        elif message.is_full:
            self._back_off(state, grant, now)
        else:
            state.outliers.record_success(grant.address)
            seconds = now - grant.granted_at
            state.queue.record_service_time(grant.is_urgent, seconds)
        # The freed part of the team's limit may let a request of any service start.
        self._dispatch_all()

    def _back_off(self, state: _ServiceState, grant: Grant, now: float) -> None:
        """Send nothing to a full server for about the time until a slot is free."""
        service_seconds = state.queue.mean_service_seconds(grant.is_urgent)
        seconds = draw_backoff_seconds(
            service_seconds, state.service.n_slots, self._rng
        )
        state.backoff_until_by_address[grant.address] = now + seconds
        self._wake_after(seconds)

    def _on_allowance_read(self, message: messages.AllowanceRead) -> None:
        self._allowance_by_team[message.team] = message
        self._dispatch_all()

    def _on_lower_allowance(self, message: messages.LowerAllowance) -> int:
        read = self._allowance_by_team.get(message.team)
        in_use = self._in_use_by_team[message.team]
        amount = max(message.amount, in_use)
        if read is not None:
            own = min(read.reading.own, amount)
            reading = read.reading._replace(own=own)
            self._allowance_by_team[message.team] = read._replace(reading=reading)
        return in_use

    def _on_serving_changed(self, message: messages.ServingChanged) -> None:
        self._vms_by_pool = {
            pool: list(vms.values())
            for pool, vms in message.serving_vm_by_id_by_pool.items()
        }
        self._dispatch_all()

    def _dispatch_all(self) -> None:
        for state in self._state_by_service.values():
            if len(state.queue):
                self._dispatch(state)

    def _dispatch(self, state: _ServiceState) -> None:
        now = self._services.clock.now()
        while len(state.queue) and self._choose_server(state, frozenset()) is not None:
            request = state.queue.pop(now, self._has_allowance)
            if request is None:
                break
            admit = state.admit_by_request_id.pop(request.request_id, None)
            if admit is not None:
                self._grant(state, admit, now)
        for team in state.queue.count_by_team():
            if not self._has_allowance(team):
                self._on_shortage(team)

    def _grant(self, state: _ServiceState, admit: Admit, now: float) -> None:
        address = self._choose_server(state, admit.excluded)
        if address is None:
            address = self._choose_server(state, frozenset())
        assert address is not None
        request = admit.request
        grant = Grant(address, state.service.name, request.team, request.is_urgent, now)
        if not _resolve(admit.future, grant):
            return
        self._in_use_by_team[request.team] += 1
        state.in_flight_by_address[address] += 1

    def _choose_server(
        self, state: _ServiceState, excluded: frozenset[str]
    ) -> str | None:
        now = self._services.clock.now()
        skipped = excluded.union(state.outliers.list_ejected(now))
        loads = [
            server
            for server in self._list_servers(state)
            if server.address not in skipped
            and state.backoff_until_by_address.get(server.address, 0.0) <= now
        ]
        return choose_server(loads, self._services.zone, self._rng)

    def _list_servers(self, state: _ServiceState) -> list[ServerLoad]:
        return [
            ServerLoad(
                vm["backend_address"],
                vm["zone"],
                state.in_flight_by_address[vm["backend_address"]],
                state.service.n_slots,
            )
            for vm in self._vms_by_pool.get(state.service.pool, [])
            if vm["backend_address"]
        ]

    def _get_state(self, service: Service) -> _ServiceState:
        state = self._state_by_service.get(service.name)
        if state is None:
            state = _ServiceState(service)
            self._state_by_service[service.name] = state
        elif state.service != service:
            state.service = service
            state.queue.max_waiting = service.max_waiting
        return state

    def _has_allowance(self, team: str) -> bool:
        return self._in_use_by_team[team] < self._count_usable(team)

    def _count_usable(self, team: str) -> int:
        snapshot = self._services.membership.snapshot()
        read = self._allowance_by_team.get(team)
        environment = snapshot.environment
        if read is None or environment is None or read.member_id != snapshot.member_id:
            return 0
        if team not in environment.team_by_name:
            return 0
        limit = environment.team_by_name[team].max_slots
        usable = usable_amount(limit, read.reading)
        ceiling = self._ceiling_by_team.get(team)
        if ceiling is not None and self._services.clock.now() < ceiling.until:
            return min(usable, ceiling.amount)
        return usable

    def _observe_demand(self, team: str) -> int:
        waiting = sum(
            state.queue.count_by_team().get(team, 0)
            for state in self._state_by_service.values()
        )
        peak = self._peak_by_team.setdefault(team, _PeakDemand())
        demand = self._in_use_by_team[team] + waiting
        return peak.observe(self._services.clock.now(), demand)

    def _list_needs(self) -> dict[str, TeamNeed]:
        teams = set(self._peak_by_team) | set(self._allowance_by_team)
        waiting: Counter[str] = Counter()
        for state in self._state_by_service.values():
            waiting.update(state.queue.count_by_team())
        needs = {}
        member_id = self._services.membership.snapshot().member_id
        for team in teams:
            in_use = self._in_use_by_team[team]
            need = HolderNeed(in_use, max(in_use, self._observe_demand(team)))
            is_short = waiting[team] > 0 and not self._has_allowance(team)
            read = self._allowance_by_team.get(team)
            is_own = read is not None and read.member_id == member_id
            needs[team] = TeamNeed(need, is_short, read.reading if is_own else None)
        return needs


def _resolve(future: "Future[Grant | NotRun]", outcome: Grant | NotRun) -> bool:
    """Set the outcome; return ``False`` if the caller no longer waits."""
    if not future.set_running_or_notify_cancel():
        return False
    future.set_result(outcome)
    return True
