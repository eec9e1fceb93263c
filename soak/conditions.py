"""Lasting conditions of machines and networks, under which work must go on.

Unlike a fault, a condition holds from the start of the load to its end.
"""

import itertools
import math
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from catkinport.platform.table import OWNER_PART

from .environment import SoakEnvironment

STARVING_PERIOD_SECONDS = 0.05
"""Time from one pause of a starved process to its next one."""

OWNER_PAUSE_SECONDS = 4.0
"""How long an owner is paused, which is long enough for it to be replaced where the
store takes up to half a second for an answer."""

FOREIGN_CHANGES: tuple[dict[str, Any], ...] = (
    {"Service": ""},
    {"Service": "x" * 201},
    {"Service": "unknown"},
    {"State": "unknown"},
    {"Address": 17},
    {"Labels": ["x" * 66_000]},
    {"Zone": "\ud800"},
    {"Capacity": None},
)
"""How entries that no worker has written differ from one of a worker."""

Condition = Callable[[SoakEnvironment, float], Callable[[], None] | None]
"""Begins a condition of the given strength; returns what ends it, ``None`` if nothing
has to be ended before the processes are."""

CONDITION_BY_NAME: dict[str, Condition] = {}


def register(condition: Condition) -> Condition:
    """Register the decorated function as a condition under its own name."""
    CONDITION_BY_NAME[condition.__name__] = condition
    return condition


@register
def store_far(environment: SoakEnvironment, strength: float) -> None:
    """Delay requests to the store, and its answers, by ``strength`` seconds each."""
    environment.deployment.set_faults(store_one_way_seconds=strength)


@register
def vms_far(environment: SoakEnvironment, strength: float) -> None:
    """Delay calls of the interface for VMs by ``strength`` seconds each way."""
    environment.deployment.set_faults(vms_one_way_seconds=strength)


@register
def workers_far(environment: SoakEnvironment, strength: float) -> None:
    """Delay calls of the workers by ``strength`` seconds each way."""
    environment.deployment.set_faults(workers_one_way_seconds=strength)


@register
def all_far(environment: SoakEnvironment, strength: float) -> None:
    """Delay all calls to the platform and its workers by ``strength`` seconds."""
    store_far(environment, strength)
    vms_far(environment, strength)
    workers_far(environment, strength)


@register
def vm_list_old(environment: SoakEnvironment, strength: float) -> None:
    """Let the platform's list of VMs be ``strength`` seconds old."""
    environment.deployment.set_faults(vm_list_age_seconds=strength)


@register
def vm_orders_refused(environment: SoakEnvironment, strength: float) -> None:
    """Refuse this fraction of the orders for VMs."""
    environment.deployment.set_faults(refused_vm_orders=strength)


@register
def vm_orders_lost(environment: SoakEnvironment, strength: float) -> None:
    """Leave this fraction of the orders for VMs unanswered; carry out half of these."""
    environment.deployment.set_faults(lost_vm_orders=strength)


@register
def waves(environment: SoakEnvironment, strength: float) -> Callable[[], None]:
    """Request waves of upkeep of all VMs one after another, each ``strength`` seconds.

    Each has this time until its deadline. A third of the VMs may be down at once.
    """
    deployment = environment.deployment
    size = deployment.size
    max_down = (size.n_pools * size.n_vms + size.n_spare_vms) // 3

    def request() -> None:
        deployment.request_next_upkeep_wave(strength, max_down)

    request()
    return _repeat(request, strength)


@register
def answers_lost(environment: SoakEnvironment, strength: float) -> None:
    """Lose the answers to this fraction of the writes to the store."""
    environment.deployment.set_faults(store_lost_answers=strength)


@register
def owner_answers_late(environment: SoakEnvironment, strength: float) -> None:
    """Answer the owner's commits that took effect ``strength`` seconds late.

    Reads, conflicts and the commits of callers are answered at once.
    """
    environment.deployment.set_faults(
        late_answer_part=OWNER_PART, late_answer_seconds=strength
    )


@register
def owner_part_slow(environment: SoakEnvironment, strength: float) -> None:
    """Answer all of the owner's commits ``strength`` seconds late, but not its reads.

    A store does so whose part (partition) with these rows has a queue.
    """
    environment.deployment.set_faults(
        late_answer_part=OWNER_PART,
        late_answer_seconds=strength,
        are_conflicts_late=True,
    )


@register
def entries_foreign(
    environment: SoakEnvironment, strength: float
) -> Callable[[], None]:
    """Write an entry of no worker to the list of workers each ``strength`` seconds."""
    changes = itertools.cycle(FOREIGN_CHANGES)
    numbers = itertools.count()

    def write() -> None:
        name = f"foreign-{next(numbers)}"
        environment.deployment.write_worker_entry(name, **next(changes))

    write()
    return _repeat(write, strength)


@register
def orders_late(environment: SoakEnvironment, strength: float) -> None:
    """Leave this fraction of the orders to workers unanswered; carry them out late."""
    environment.deployment.set_faults(late_orders=strength)


@register
def daemons_starved(
    environment: SoakEnvironment, strength: float
) -> Callable[[], None]:
    """Pause all daemons for this fraction of the time, many times a second."""
    return _pause_by_turns(
        environment, STARVING_PERIOD_SECONDS, strength * STARVING_PERIOD_SECONDS
    )


@register
def daemons_stalled(
    environment: SoakEnvironment, strength: float
) -> Callable[[], None]:
    """Pause all daemons for ``strength`` seconds of each twice that time."""
    return _pause_by_turns(environment, 2 * strength, strength)


@register
def output_slow(environment: SoakEnvironment, strength: float) -> Callable[[], None]:
    """Read the output of the daemons at ``strength`` KB a second."""
    daemons = list(environment.deployment.daemon_by_name.values())
    for daemon in daemons:
        daemon.process.limit_output(strength * 1000)

    def end() -> None:
        for daemon in daemons:
            daemon.process.limit_output(math.inf)

    return end


@register
def connections_silent(
    environment: SoakEnvironment, strength: float
) -> Callable[[], None]:
    """Leave all connections to the store and the interface for VMs half open.

    It happens to those that are open, once in ``strength`` seconds; the daemons see no
    end of them, and new ones work.
    """

    def silence() -> None:
        for proxy in environment.store_proxy_by_name.values():
            environment.silence(proxy)

    return _repeat(silence, strength)


@register
def owner_killed(environment: SoakEnvironment, strength: float) -> Callable[[], None]:
    """Kill the owner every ``strength`` seconds; it starts again at the next kill.

    So another daemon takes over each time.
    """

    def kill() -> None:
        environment.restart_ended()
        owner = environment.deployment.find_owner()
        if owner is not None and owner.process.is_running:
            owner.process.kill()
            environment.request_restart(owner)

    return _repeat(kill, strength)


@register
def owner_paused(environment: SoakEnvironment, strength: float) -> Callable[[], None]:
    """Pause the owner for `OWNER_PAUSE_SECONDS` every ``strength`` seconds."""

    def pause() -> None:
        owner = environment.deployment.find_owner()
        if owner is None:
            return
        owner.process.send_signal(signal.SIGSTOP)
        time.sleep(OWNER_PAUSE_SECONDS)
        owner.process.resume()

    return _repeat(pause, strength)


@register
def machine_busy(environment: SoakEnvironment, strength: float) -> Callable[[], None]:
    """Run ``strength`` processes that do nothing but use a processor."""
    spin = [sys.executable, "-c", "while True: pass"]
    processes = [subprocess.Popen(spin) for _ in range(int(strength))]

    def end() -> None:
        for process in processes:
            process.kill()
            process.wait()

    return end


def _pause_by_turns(
    environment: SoakEnvironment, period_seconds: float, pause_seconds: float
) -> Callable[[], None]:
    rng = random.Random(1)

    def pause() -> None:
        daemons = list(environment.deployment.daemon_by_name.values())
        for daemon in daemons:
            daemon.process.send_signal(signal.SIGSTOP)
        time.sleep(pause_seconds * rng.uniform(0.8, 1.2))
        for daemon in daemons:
            daemon.process.resume()

    return _repeat(pause, period_seconds - pause_seconds)


def _repeat(action: Callable[[], None], interval_seconds: float) -> Callable[[], None]:
    """Repeat an action until the returned function is called.

    The time between two of them varies by a fifth.
    """
    stop = threading.Event()
    rng = random.Random(2)

    def run() -> None:
        while not stop.wait(interval_seconds * rng.uniform(0.8, 1.2)):
            action()

    thread = threading.Thread(target=run)
    thread.start()

    def end() -> None:
        stop.set()
        thread.join()

    return end
