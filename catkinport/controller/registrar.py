"""Registers VMs that are in the platform's VM list but have no row yet."""

import logging
from collections.abc import Mapping

from ..fleet.operations import register_vm
from ..membership.interface import MembershipSnapshot
from ..ports import ListedVm, Unavailable, VmStatus, scan_all
from ..runtime import log_event
from ..settings.environment import Environment
from .ownership import Ownership
from .services import Services

logger = logging.getLogger(__name__)

MAX_REGISTRATIONS_PER_STEP = 20


def choose_pool(environment: Environment, default_pool: str = "") -> str | None:
    """Return the pool of a new VM: the default, else the spare pool.

    ``None`` means that neither is in the environment.
    """
    if default_pool in environment.pool_by_name:
        return default_pool
    spares = [pool.name for pool in environment.pool_by_name.values() if pool.is_spare]
    return min(spares, default=None)


class Registrar:
    """Registers new VMs in the pool that is chosen for them.

    Only the owner of that pool registers VMs; each write depends on its ownership.

    Args:
        services: clients and shared objects of the process.
        default_pool: pool of new VMs; empty for the spare pool.
    """

    def __init__(self, services: Services, default_pool: str = "") -> None:
        self._services = services
        self._default_pool = default_pool
        self._known_ids: set[str] = set()
        self._generation = -1
        self._n_registered = 0

    def step(
        self,
        snapshot: MembershipSnapshot,
        listed_by_vm: Mapping[str, ListedVm],
        ownership_by_pool: Mapping[str, Ownership],
    ) -> int:
        """Try to register new VMs; return how many were tried."""
        if snapshot.environment is None:
            return 0
        pool = choose_pool(snapshot.environment, self._default_pool)
        ownership = ownership_by_pool.get(pool or "")
        if ownership is None or not self._is_lease_held(snapshot, ownership):
            return 0
        if not self._read_known(snapshot.generation):
            return 0
        new = [
            vm
            for vm in listed_by_vm.values()
            if vm.vm_id not in self._known_ids and vm.status == VmStatus.LIVE
        ]
        for vm in new[:MAX_REGISTRATIONS_PER_STEP]:
            self._register(vm, ownership)
        return len(new[:MAX_REGISTRATIONS_PER_STEP])

    def _is_lease_held(
        self, snapshot: MembershipSnapshot, ownership: Ownership
    ) -> bool:
        is_same_member = snapshot.member_id == ownership.member_id
        return is_same_member and snapshot.is_fresh(self._services.clock.now())

    def _read_known(self, generation: int) -> bool:
        """Read the VMs of all pools if ``generation`` is new; return whether it worked.

        Every change of a VM increases the generation.
        """
        if generation == self._generation:
            return True
        rows = scan_all(self._services.table, "pools")
        if isinstance(rows, Unavailable):
            return False
        self._known_ids = {
            vm_id
            for row in rows
            for field in ("serving_vm_by_id", "reason_by_disrupted_vm")
            for vm_id in row.value[field]
        }
        self._generation = generation
        return True

    def _register(self, vm: ListedVm, ownership: Ownership) -> None:
        self._n_registered += 1
        token = f"{ownership.member_id}/register/{self._n_registered}"
        outcome = register_vm(
            self._services.table,
            vm,
            ownership.pool,
            token,
            self._services.unix_time(),
            ownership.fence,
        )
        log_event(
            logger,
            "VM registration attempted",
            vm=vm.vm_id,
            pool=ownership.pool,
            outcome=type(outcome).__name__,
        )
