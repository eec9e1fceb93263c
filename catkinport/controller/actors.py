"""Actors of the controller and the messages that they handle.

One actor takes pools over, one decides for each owned pool and one reads the VM list.
"""

import logging
import threading
from collections.abc import Mapping
from typing import Any, NamedTuple

import pykka

from ..ports import ListedVm, Unavailable
from ..runtime import log_event
from .ownership import Ownership, OwnershipManager
from .pool_manager import PoolManager
from .registrar import Registrar
from .services import Services

logger = logging.getLogger(__name__)

VM_LIST_PERIOD_SECONDS = 2.0
OWNERSHIP_PERIOD_SECONDS = 0.5


class Tick(NamedTuple):
    """Request to an actor to do its next step."""


class JobNotice(NamedTuple):
    """Notice that a job is new or was cancelled."""

    queue: str
    job_id: str


class VmsListed(NamedTuple):
    """VM list that was read last.

    Args:
        listed_by_vm: the list.
        requested_at: time at which it was requested, in seconds on the clock of the
            process.
    """

    listed_by_vm: Mapping[str, ListedVm]
    requested_at: float


class PoolsOwned(NamedTuple):
    """Pools that this controller owns, sent when they have changed."""

    ownership_by_pool: Mapping[str, Ownership]


class ReleaseAll(NamedTuple):
    """Request to release all pools before the process stops."""


class Ticker(threading.Thread):
    """Thread that asks an actor for steps and waits for the end of each one.

    Because it waits, requests do not pile up when steps take longer than the period.

    Args:
        actor: the actor.
        period_seconds: time between the end of a step and the next one.
    """

    def __init__(self, actor: pykka.ActorRef[Any], period_seconds: float) -> None:
        super().__init__(name=f"ticker-{actor.actor_class.__name__}", daemon=True)
        self._actor = actor
        self._period_seconds = period_seconds
        self._wake = threading.Event()
        self._is_stopping = False

    def run(self) -> None:
        """Ask for steps until ``stop`` is called or the actor has ended."""
        while not self._is_stopping:
            try:
                self._actor.ask(Tick())
            except pykka.ActorDeadError:
                return
            except Exception:
                logger.exception("actor step failed")
            self._wake.wait(self._period_seconds)
            self._wake.clear()

    def wake(self) -> None:
        """Ask for the next step at once."""
        self._wake.set()

    def stop(self) -> None:
        """End the thread after the current step."""
        self._is_stopping = True
        self._wake.set()


class PoolActor(pykka.ThreadingActor):
    """Runs the manager of one owned pool.

    Args:
        manager: manager of the pool, which only this actor uses.
    """

    use_daemon_thread = True

    def __init__(self, manager: PoolManager) -> None:
        super().__init__()
        self._manager = manager

    def on_receive(self, message: Any) -> Any:
        """Step the manager on a ``Tick``, else pass on what the message contains.

        The reply to a ``Tick`` is whether this controller still owns the pool.
        """
        if isinstance(message, Tick):
            return self._manager.step()
        if isinstance(message, JobNotice):
            self._manager.notice_job(message.queue, message.job_id)
        elif isinstance(message, VmsListed):
            self._manager.set_listed_vms(message.listed_by_vm, message.requested_at)
        return None


class VmListActor(pykka.ThreadingActor):
    """Reads the VM list and registers new VMs.

    The last list that was read stays in use while the list is not available.

    Args:
        services: clients and shared objects of the process.
        registrar: registers VMs without a row.
        controller: actor that gets every list that was read.
    """

    use_daemon_thread = True

    def __init__(
        self, services: Services, registrar: Registrar, controller: pykka.ActorRef[Any]
    ) -> None:
        super().__init__()
        self._services = services
        self._registrar = registrar
        self._controller = controller
        self._listed_by_vm: Mapping[str, ListedVm] = {}
        self._ownership_by_pool: Mapping[str, Ownership] = {}

    def on_receive(self, message: Any) -> None:
        """Read the list on a ``Tick``; keep the owned pools for registrations."""
        if isinstance(message, PoolsOwned):
            self._ownership_by_pool = message.ownership_by_pool
        elif isinstance(message, Tick):
            self._step()

    def _step(self) -> None:
        requested_at = self._services.clock.now()
        listed = self._services.vm_list.list_vms()
        if isinstance(listed, Unavailable):
            log_event(
                logger,
                "VM list read failed",
                step=listed.step,
                peer=listed.peer,
                reason=str(listed.reason),
            )
        else:
            self._listed_by_vm = {vm.vm_id: vm for vm in listed}
            self._controller.tell(VmsListed(self._listed_by_vm, requested_at))
        snapshot = self._services.membership.snapshot()
        self._registrar.step(snapshot, self._listed_by_vm, self._ownership_by_pool)


class _RunningPool(NamedTuple):
    actor: pykka.ActorRef[PoolActor]
    ticker: Ticker


class ControllerActor(pykka.ThreadingActor):
    """Takes pools over, releases them and runs an actor for each owned pool.

    Args:
        services: clients and shared objects of the process.
        default_pool: pool of new VMs; empty for the spare pool.
    """

    use_daemon_thread = True

    def __init__(self, services: Services, default_pool: str = "") -> None:
        super().__init__()
        self._services = services
        self._ownership_manager = OwnershipManager(services.table, services.clock)
        self._registrar = Registrar(services, default_pool)
        self._pool_by_name: dict[str, _RunningPool] = {}
        self._vms_listed = VmsListed({}, float("-inf"))
        self._is_releasing = False

    def on_start(self) -> None:
        """Start the actor for the VM list and subscribe to notices of jobs."""
        self._vm_list = VmListActor.start(
            self._services, self._registrar, self.actor_ref
        )
        self._vm_list_ticker = Ticker(self._vm_list, VM_LIST_PERIOD_SECONDS)
        self._vm_list_ticker.start()
        self._services.membership.set_queue_notice_handler(self._on_queue_notice)

    def on_stop(self) -> None:
        """Stop all actors without releasing their pools."""
        self._vm_list_ticker.stop()
        self._vm_list.stop()
        for pool in list(self._pool_by_name):
            self._stop_pool(pool)

    def on_receive(self, message: Any) -> Any:
        """Take pools over, send the VM list to their actors, or release all pools.

        The reply to ``ReleaseAll`` is the number of released pools.
        """
        if isinstance(message, Tick):
            self._step()
        elif isinstance(message, VmsListed):
            self._vms_listed = message
            for running in self._pool_by_name.values():
                running.actor.tell(message)
        elif isinstance(message, ReleaseAll):
            return self._release_all()
        return None

    def _step(self) -> None:
        if self._is_releasing:
            return
        snapshot = self._services.membership.snapshot()
        changes = self._ownership_manager.step(snapshot)
        for pool in changes.lost:
            self._stop_pool(pool)
        for ownership in changes.gained:
            self._start_pool(ownership)
        for pool in changes.to_release:
            self._stop_pool(pool)
            self._ownership_manager.release(pool)
        if any(changes):
            owned = dict(self._ownership_manager.ownership_by_pool)
            self._vm_list.tell(PoolsOwned(owned))
            self._services.metrics.set(
                "catkin_pools_owned", "Pools that this controller owns.", {}, len(owned)
            )

    def _start_pool(self, ownership: Ownership) -> None:
        self._stop_pool(ownership.pool)
        snapshot = self._services.membership.snapshot()
        manager = PoolManager(self._services, ownership, snapshot)
        actor = PoolActor.start(manager)
        actor.tell(self._vms_listed)
        ticker = Ticker(actor, self._services.timing.round_seconds)
        ticker.start()
        # The dictionary is replaced and not modified, because notices of jobs read it
        # from other threads.
        running = _RunningPool(actor, ticker)
        self._pool_by_name = {**self._pool_by_name, ownership.pool: running}

    def _stop_pool(self, pool: str) -> None:
        running = self._pool_by_name.get(pool)
        if running is None:
            return
        running.ticker.stop()
        running.actor.stop()
        self._pool_by_name = {
            name: entry for name, entry in self._pool_by_name.items() if name != pool
        }

    def _release_all(self) -> int:
        """Release every pool, so that other controllers need not wait for an eviction.

        All pool actors stop first. Returns the number of released pools.
        """
        self._is_releasing = True
        pools = list(self._ownership_manager.ownership_by_pool)
        for pool in pools:
            self._stop_pool(pool)
        snapshot = self._services.membership.snapshot()
        if not snapshot.is_fresh(self._services.clock.now()):
            return 0
        return sum(self._ownership_manager.release(pool) for pool in pools)

    def _on_queue_notice(self, queue: str, job_id: str) -> bool:
        environment = self._services.membership.snapshot().environment
        known = environment.queue_by_name.get(queue) if environment else None
        running = self._pool_by_name.get(known.pool) if known else None
        if running is None or not running.actor.is_alive():
            return False
        running.actor.tell(JobNotice(queue, job_id))
        running.ticker.wake()
        return True
