"""Faults that are injected from outside the daemons, and random schedules of them.

The owner of the fleet is the one daemon that gives orders to the workers. The store is
the platform's table service.
"""

import logging
import random
import signal
from collections.abc import Callable
from typing import NamedTuple

from catkinport.runtime.logs import log_event
from verification.platform.deployment import DaemonProcess

from .environment import SoakEnvironment

logger = logging.getLogger(__name__)

Fault = Callable[[SoakEnvironment, random.Random], Callable[[], None] | None]
"""Injects a fault and returns the function that ends it, ``None`` if it needs none."""

FAULT_BY_NAME: dict[str, Fault] = {}

VM_LIST_AGE_SECONDS = 1.2
"""Largest age of the data in a list of VMs, as the platform promises."""

SERIES_FAULT_NAMES: set[str] = set()
"""Names of the faults that only series use."""


class PlannedFault(NamedTuple):
    """A fault of a schedule.

    Args:
        start_seconds: time from the start of the schedule to the fault.
        name: name of the fault.
        duration_seconds: time until the fault is ended.
    """

    start_seconds: float
    name: str
    duration_seconds: float


class InjectedFault(NamedTuple):
    """A fault that has ended.

    Args:
        name: name of the fault.
        began_at: time of the monotonic clock, in seconds, before it was injected.
        ended_at: time after its end; that after its injection if it needs no end.
    """

    name: str
    began_at: float
    ended_at: float


def register(fault: Fault) -> Fault:
    """Register the decorated function as a fault under its own name."""
    FAULT_BY_NAME[fault.__name__] = fault
    return fault


def register_for_series(fault: Fault) -> Fault:
    """Register the decorated function as a fault that only series use.

    Single faults are drawn by name, so a further name would change every schedule.
    """
    SERIES_FAULT_NAMES.add(fault.__name__)
    return register(fault)


def draw_schedule(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Return random single faults over ``seconds``, one in two seconds on average.

    The faults last for 0.5 to 5 s, so they may overlap.
    """
    names = sorted(FAULT_BY_NAME.keys() - SERIES_FAULT_NAMES)
    schedule = []
    start_seconds = rng.uniform(0.5, 2.0)
    while start_seconds < seconds:
        duration_seconds = rng.uniform(0.5, 5.0)
        schedule.append(
            PlannedFault(start_seconds, rng.choice(names), duration_seconds)
        )
        start_seconds += rng.expovariate(0.5)
    return schedule


def _pick_daemon(environment: SoakEnvironment, rng: random.Random) -> DaemonProcess:
    daemons = environment.deployment.daemon_by_name
    daemon = environment.deployment.find_owner()
    is_owner = daemon is not None and rng.random() < 0.6
    if daemon is None or not is_owner:
        daemon = daemons[rng.choice(sorted(daemons))]
    log_event(logger, "daemon picked", daemon=daemon.name, is_owner=is_owner)
    return daemon


@register
def kill_daemon(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Kill a daemon, in most cases the owner of the fleet; the end restarts it."""
    daemon = _pick_daemon(environment, rng)
    daemon.process.kill()
    return lambda: environment.request_restart(daemon)


@register
def kill_all_daemons(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Kill all daemons at once; the end restarts them."""
    daemons = list(environment.deployment.daemon_by_name.values())
    for daemon in daemons:
        daemon.process.kill()

    def end() -> None:
        for daemon in daemons:
            environment.request_restart(daemon)

    return end


@register
def pause_daemon(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Pause the process of a daemon, as if its VM were suspended."""
    daemon = _pick_daemon(environment, rng)
    daemon.process.send_signal(signal.SIGSTOP)
    return daemon.process.resume


@register
def stop_daemon(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Stop a daemon with SIGTERM, as a planned restart does; the end restarts it."""
    daemon = _pick_daemon(environment, rng)
    daemon.process.send_signal(signal.SIGTERM)
    return lambda: environment.request_restart(daemon)


@register
def reload_settings(environment: SoakEnvironment, rng: random.Random) -> None:
    """Make a daemon reload its settings with SIGHUP."""
    _pick_daemon(environment, rng).process.send_signal(signal.SIGHUP)


@register
def cut_from_store(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Cut the connections of a daemon to the platform in one or both directions."""
    link = environment.store_proxy_by_name[_pick_daemon(environment, rng).name].link
    link.is_cut_to_target = rng.random() < 0.7
    link.is_cut_from_target = not link.is_cut_to_target or rng.random() < 0.5
    return link.heal


@register
def delay_store(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Delay the traffic between a daemon and the platform in both directions."""
    link = environment.store_proxy_by_name[_pick_daemon(environment, rng).name].link
    link.delay_seconds = rng.uniform(0.02, 0.4)
    return link.heal


@register
def reset_connections(environment: SoakEnvironment, rng: random.Random) -> None:
    """Reset the connections of a daemon to the platform, or those of its callers."""
    name = _pick_daemon(environment, rng).name
    proxies = rng.choice(
        (environment.store_proxy_by_name, environment.caller_proxy_by_name)
    )
    environment.reset(proxies[name])


@register
def silence_connections(environment: SoakEnvironment, rng: random.Random) -> None:
    """Stop forwarding on the open connections of a daemon to the platform for good."""
    environment.silence(
        environment.store_proxy_by_name[_pick_daemon(environment, rng).name]
    )


def _set_platform_faults(environment: SoakEnvironment, **faults) -> Callable[[], None]:
    log_event(logger, "platform faults set", **faults)
    environment.deployment.set_faults(**faults)
    # A fault is off at the default of its type, ``False`` or 0.0.
    defaults = {name: type(value)() for name, value in faults.items()}
    return lambda: environment.deployment.set_faults(**defaults)


def _find_owner(environment: SoakEnvironment) -> DaemonProcess:
    daemons = environment.deployment.daemon_by_name
    owner = environment.deployment.find_owner() or daemons[min(daemons)]
    log_event(logger, "owner picked", daemon=owner.name)
    return owner


@register_for_series
def kill_owner(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Kill the owner of the fleet; the end restarts it."""
    owner = _find_owner(environment)
    owner.process.kill()
    return lambda: environment.request_restart(owner)


@register_for_series
def stop_owner(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Stop the owner with SIGTERM, as a planned restart does; the end restarts it."""
    owner = _find_owner(environment)
    owner.process.send_signal(signal.SIGTERM)
    return lambda: environment.request_restart(owner)


@register_for_series
def pause_owner(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Pause the owner, which goes on with what it believed then."""
    owner = _find_owner(environment)
    owner.process.send_signal(signal.SIGSTOP)
    return owner.process.resume


@register_for_series
def cut_owner(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Cut the answers of the platform to the owner; its calls still arrive."""
    link = environment.store_proxy_by_name[_find_owner(environment).name].link
    link.is_cut_from_target = True
    return link.heal


@register
def store_down(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Make the store refuse every call, or answer none."""
    name = rng.choice(("is_store_down", "is_store_silent"))
    return _set_platform_faults(environment, **{name: True})


@register
def store_slow(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Delay every answer of the store."""
    return _set_platform_faults(environment, store_delay_seconds=rng.uniform(0.05, 0.4))


@register
def store_answers_lost(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Lose some of the answers to writes, and apply some of these writes late."""
    return _set_platform_faults(
        environment, store_lost_answers=0.3, store_late_writes=0.5
    )


@register_for_series
def store_writes_late(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Lose the answers to many writes, all of which are applied seconds later."""
    return _set_platform_faults(
        environment, store_lost_answers=0.4, store_late_writes=1.0
    )


@register
def store_history_lost(environment: SoakEnvironment, rng: random.Random) -> None:
    """Discard the store's history of changes, as a compaction does."""
    environment.deployment.call_standin("POST", "/standin/compact", {})


@register
def late_orders(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Leave some orders to workers, such as starts, unanswered; carry them out late."""
    return _set_platform_faults(environment, late_orders=rng.uniform(0.05, 0.4))


@register
def vm_interface_down(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Make the platform's interface for VMs refuse every call."""
    return _set_platform_faults(environment, is_vm_interface_down=True)


@register_for_series
def vm_list_old(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Let the platform's list of VMs be as old as it may be."""
    return _set_platform_faults(environment, vm_list_age_seconds=VM_LIST_AGE_SECONDS)


def _pick_vm(environment: SoakEnvironment, rng: random.Random) -> str:
    size = environment.deployment.size
    vm_id = f"m-{rng.randrange(size.n_pools * size.n_vms)}"
    log_event(logger, "vm picked", vm=vm_id)
    return vm_id


@register
def crash_worker(environment: SoakEnvironment, rng: random.Random) -> None:
    """Crash a VM; afterwards its worker starts again without its earlier tasks."""
    crash_seconds = rng.uniform(0.5, 4.0)
    environment.deployment.set_vm_faults(
        _pick_vm(environment, rng), crash_seconds=crash_seconds
    )


@register
def cut_worker(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Cut a worker off; its tasks run on until their lease lapses."""
    vm_id = _pick_vm(environment, rng)
    environment.deployment.set_vm_faults(vm_id, is_silent=True)
    return lambda: environment.deployment.set_vm_faults(vm_id, is_silent=False)


@register
def request_upkeep(environment: SoakEnvironment, rng: random.Random) -> None:
    """Request a wave of upkeep (maintenance) of every VM."""
    environment.deployment.request_next_upkeep_wave(deadline_seconds=20.0, max_down=2)


@register
def withdraw_key(environment: SoakEnvironment, rng: random.Random) -> None:
    """Add a new API key and withdraw the older ones."""
    environment.deployment.rotate_keys()
