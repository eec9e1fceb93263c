"""Faults from outside the daemons; a seed draws them, in series and overlapping."""

import random
import signal
from collections.abc import Callable
from typing import NamedTuple

from verification.platform.deployment import DaemonProcess

from .world import SoakWorld

Fault = Callable[[SoakWorld, random.Random], Callable[[], None] | None]
"""Strikes, and returns what ends it, if something does."""

FAULT_BY_NAME: dict[str, Fault] = {}


class PlannedFault(NamedTuple):
    """A fault of a schedule; times in seconds from its start."""

    at: float
    name: str
    for_seconds: float


def register(fault: Fault) -> Fault:
    """Add a fault under the name of its function."""
    FAULT_BY_NAME[fault.__name__] = fault
    return fault


def draw_schedule(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Return faults over ``seconds``, one each two seconds on average."""
    names = sorted(FAULT_BY_NAME)
    schedule = []
    at = rng.uniform(0.5, 2.0)
    while at < seconds:
        length = rng.uniform(0.5, 5.0)
        schedule.append(PlannedFault(at, rng.choice(names), length))
        at += rng.expovariate(0.5)
    return schedule


def _pick(world: SoakWorld, rng: random.Random) -> DaemonProcess:
    daemons = world.deployment.daemon_by_name
    owner = world.deployment.find_owner()
    if owner is not None and rng.random() < 0.6:
        return owner
    return daemons[rng.choice(sorted(daemons))]


def _restart(world: SoakWorld, daemon: DaemonProcess) -> None:
    if not daemon.process.is_running:
        world.start_daemon(daemon.name)


@register
def kill_daemon(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Kill a daemon, the owner more often than not, and start it again."""
    daemon = _pick(world, rng)
    daemon.process.kill()
    return lambda: _restart(world, daemon)


@register
def kill_all_daemons(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Kill all daemons at once and start them again."""
    daemons = list(world.deployment.daemon_by_name.values())
    for daemon in daemons:
        daemon.process.kill()

    def end() -> None:
        for daemon in daemons:
            current = world.deployment.daemon_by_name[daemon.name]
            _restart(world, current)

    return end


@register
def pause_daemon(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Freeze a daemon as a suspended VM would."""
    daemon = _pick(world, rng)
    daemon.process.send_signal(signal.SIGSTOP)
    return daemon.process.resume


@register
def stop_daemon(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Ask a daemon to stop, as in a planned restart."""
    daemon = _pick(world, rng)
    daemon.process.send_signal(signal.SIGTERM)
    return lambda: _restart(world, daemon)


@register
def reload_settings(world: SoakWorld, rng: random.Random) -> None:
    """Tell a daemon that its settings have changed."""
    _pick(world, rng).process.send_signal(signal.SIGHUP)


@register
def cut_from_store(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Cut a daemon from the platform, one way or both."""
    link = world.store_proxy_by_name[_pick(world, rng).name].link
    link.is_cut_there = rng.random() < 0.7
    link.is_cut_back = not link.is_cut_there or rng.random() < 0.5
    return link.heal


@register
def delay_store(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Delay what a daemon and the platform send each other."""
    link = world.store_proxy_by_name[_pick(world, rng).name].link
    link.delay_seconds = rng.uniform(0.02, 0.4)
    return link.heal


@register
def reset_connections(world: SoakWorld, rng: random.Random) -> None:
    """Reset the connections of a daemon to the platform, or of its callers."""
    name = _pick(world, rng).name
    proxies = rng.choice((world.store_proxy_by_name, world.caller_proxy_by_name))
    world.reset(proxies[name])


@register
def silence_connections(world: SoakWorld, rng: random.Random) -> None:
    """Silence the open connections of a daemon to the platform for good."""
    world.silence(world.store_proxy_by_name[_pick(world, rng).name])


def _platform_fault(world: SoakWorld, **faults) -> Callable[[], None]:
    world.deployment.set_faults(**faults)
    defaults = {name: type(value)() for name, value in faults.items()}
    return lambda: world.deployment.set_faults(**defaults)


@register
def store_down(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Let the store refuse every call, or answer none."""
    name = rng.choice(("is_store_down", "is_store_silent"))
    return _platform_fault(world, **{name: True})


@register
def store_slow(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Let every answer of the store take longer."""
    return _platform_fault(world, store_delay_seconds=rng.uniform(0.05, 0.4))


@register
def store_answers_lost(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Lose answers to writes, of which some are carried out later."""
    return _platform_fault(world, store_lost_answers=0.3, store_late_writes=0.5)


@register
def store_history_lost(world: SoakWorld, rng: random.Random) -> None:
    """Let the store forget the history of its changes."""
    world.deployment.control("POST", "/standin/compact", {})


@register
def late_orders(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Leave orders to workers unanswered and carry them out late."""
    return _platform_fault(world, late_orders=rng.uniform(0.05, 0.4))


@register
def vm_interface_down(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Let the interface for VMs refuse every call."""
    return _platform_fault(world, is_vm_interface_down=True)


def _pick_vm(world: SoakWorld, rng: random.Random) -> str:
    size = world.deployment.size
    return f"m-{rng.randrange(size.n_pools * size.n_vms)}"


@register
def crash_worker(world: SoakWorld, rng: random.Random) -> None:
    """Crash a VM; its worker comes back as another life."""
    crash_seconds = rng.uniform(0.5, 4.0)
    world.deployment.change_vm(_pick_vm(world, rng), crash_seconds=crash_seconds)


@register
def cut_worker(world: SoakWorld, rng: random.Random) -> Callable[[], None]:
    """Cut a worker off; what runs on it goes on under its lease."""
    vm_id = _pick_vm(world, rng)
    world.deployment.change_vm(vm_id, is_silent=True)
    return lambda: world.deployment.change_vm(vm_id, is_silent=False)


@register
def request_upkeep(world: SoakWorld, rng: random.Random) -> None:
    """Ask for the upkeep of every VM."""
    world.deployment.request_next_wave(deadline_seconds=20.0, max_down=2)


@register
def withdraw_key(world: SoakWorld, rng: random.Random) -> None:
    """Take the oldest key away and give out a new one."""
    world.deployment.rotate_keys()
