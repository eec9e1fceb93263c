"""Waiting time of requests with the routing rule, random choice and a global queue.

Requests arrive at random at entries that know only their own counts, as in the
product. A full backend server refuses a request. The entry then tries another server
and sends no requests to the full one for the time of ``draw_backoff_seconds``. The
baseline queues each request at a random server. The bound is one global queue that
knows every slot.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Sequence
from typing import NamedTuple

from catkinport.policy.routing import ServerLoad, choose_server, draw_backoff_seconds

from .registry import Figure, register

SEED = 20261204
N_SERVERS = 6
N_SLOTS = 8
WORK_SECONDS = 0.1
N_REQUESTS = 20_000


class Request(NamedTuple):
    """A request; ``arrived_at`` and its service time ``work`` are in seconds."""

    arrived_at: float
    work: float
    entry: int


def draw_requests(load: float, n_entries: int, seed: int = SEED) -> list[Request]:
    """Return Poisson arrivals with exponential service times, 0.1 s on average."""
    rng = random.Random(seed)
    rate = load * N_SERVERS * N_SLOTS / WORK_SECONDS
    now = 0.0
    requests = []
    for _ in range(N_REQUESTS):
        now += rng.expovariate(rate)
        work = rng.expovariate(1 / WORK_SECONDS)
        requests.append(Request(now, work, rng.randrange(n_entries)))
    return requests


def simulate_random_choice(requests: Sequence[Request]) -> list[float]:
    """Return the waits when each request queues at a random server."""
    rng = random.Random(SEED)
    free_at = [[0.0] * N_SLOTS for _ in range(N_SERVERS)]
    waits = []
    for request in requests:
        slots = rng.choice(free_at)
        start = max(request.arrived_at, heapq.heappop(slots))
        heapq.heappush(slots, start + request.work)
        waits.append(start - request.arrived_at)
    return waits


def simulate_global_queue(requests: Sequence[Request]) -> list[float]:
    """Return the waits in one queue that knows every slot."""
    slots = [0.0] * (N_SERVERS * N_SLOTS)
    waits = []
    for request in requests:
        start = max(request.arrived_at, heapq.heappop(slots))
        heapq.heappush(slots, start + request.work)
        waits.append(start - request.arrived_at)
    return waits


class _Simulation:
    """Simulation of entries that route with the product's rule."""

    def __init__(self, requests: Sequence[Request], n_entries: int) -> None:
        self._rng = random.Random(SEED)
        self._busy: Counter[int] = Counter()
        self._in_flight = [Counter() for _ in range(n_entries)]
        self._backoff_until = [
            dict.fromkeys(range(N_SERVERS), 0.0) for _ in range(n_entries)
        ]
        self._waiting: list[deque[Request]] = [deque() for _ in range(n_entries)]
        self._order = itertools.count()
        self._events = [
            (r.arrived_at, next(self._order), "arrive", r) for r in requests
        ]
        heapq.heapify(self._events)
        self.waits: list[float] = []
        self.n_refusals = 0

    def run(self) -> None:
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            if kind == "arrive":
                entry = value.entry
                self._waiting[entry].append(value)
            elif kind == "end":
                entry, server = value
                self._busy[server] -= 1
                self._in_flight[entry][server] -= 1
            else:
                entry = value
            self._start_waiting(entry, now)

    def _start_waiting(self, entry: int, now: float) -> None:
        waiting = self._waiting[entry]
        while waiting:
            server = self._choose(entry, now)
            if server is None:
                return
            if self._busy[server] >= N_SLOTS:
                self._refuse(entry, server, now)
                continue
            request = waiting.popleft()
            self._busy[server] += 1
            self._in_flight[entry][server] += 1
            self.waits.append(now - request.arrived_at)
            self._push(now + request.work, "end", (entry, server))

    def _choose(self, entry: int, now: float) -> int | None:
        loads = [
            ServerLoad(str(server), "z", self._in_flight[entry][server], N_SLOTS)
            for server in range(N_SERVERS)
            if self._backoff_until[entry][server] <= now
        ]
        address = choose_server(loads, "z", self._rng)
        return None if address is None else int(address)

    def _refuse(self, entry: int, server: int, now: float) -> None:
        self.n_refusals += 1
        until = now + draw_backoff_seconds(WORK_SECONDS, N_SLOTS, self._rng)
        self._backoff_until[entry][server] = until
        self._push(until, "wake", entry)

    def _push(self, at: float, kind: str, value: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, value))


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@register("routing")
def measure_routing() -> list[Figure]:
    """Compare the p99 and the longest wait for a slot, in milliseconds."""
    figures = []
    for n_entries, load in itertools.product((1, 8), (0.7, 0.9)):
        requests = draw_requests(load, n_entries)
        simulation = _Simulation(requests, n_entries)
        simulation.run()
        baseline = simulate_random_choice(requests)
        bound = simulate_global_queue(requests)
        setting = f"{n_entries} entries, load {load}, refusals {simulation.n_refusals}"
        for name, fraction in (("p99 wait, ms", 0.99), ("longest wait, ms", 1.0)):
            figures.append(
                Figure(
                    setting,
                    name,
                    percentile(simulation.waits, fraction) * 1000,
                    percentile(baseline, fraction) * 1000,
                    percentile(bound, fraction) * 1000,
                )
            )
    return figures
