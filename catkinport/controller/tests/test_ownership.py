"""Ownership of pools, reading of the VM list and registration of VMs."""

from types import SimpleNamespace

from ...policy.ownership import OwnershipAction, OwnershipView, choose_owner
from ...policy.ownership import decide_ownership as decide
from ...ports import Reason, Unavailable, VmStatus
from ...standins import LossyTable
from ...state import owner_key, vm_key
from ..actors import Tick, VmListActor
from ..ownership import OwnershipManager
from ..registrar import Registrar, choose_pool
from .cluster import Cluster

POOLS = tuple(f"p-{number}" for number in range(12))


def make_managers(cluster, *member_ids):
    managers = {}
    for member_id in member_ids:
        cluster.add_member(member_id)
        managers[member_id] = OwnershipManager(cluster.manager_table, cluster.clock)
    return managers


def step_all(cluster, managers, seconds: float):
    changes = []
    for _ in range(round(seconds / 0.5)):
        for member_id, manager in managers.items():
            step = manager.step(cluster.membership(member_id).snapshot())
            for pool in step.to_release:
                manager.release(pool)
            changes.append(step)
        cluster.clock.advance(0.5)
    return changes


def owners(cluster) -> dict[str, str]:
    rows = cluster.table.read([owner_key(pool) for pool in POOLS])
    return {key.key: row.value["member_id"] for key, row in rows.items()}


class TestPolicy:
    def test_leaving_controller_moves_only_its_own_pools(self):
        """Guards against other pools changing owners when one controller leaves."""
        ids = ["c-1", "c-2", "c-3"]
        before = {pool: choose_owner(pool, ids) for pool in POOLS}
        after = {pool: choose_owner(pool, ids[:2]) for pool in POOLS}
        moved = {pool for pool in POOLS if before[pool] != after[pool]}
        assert moved == {pool for pool in POOLS if before[pool] == "c-3"}

    def test_takeover_waits_until_the_eviction_is_complete(self):
        """Guards against two owners while the lease of the former one may still run."""
        view = OwnershipView("p", "c-1", "c-0", {"c-1": 60.0}, 2.03)
        assert decide(view) == OwnershipAction.WAIT
        later = view._replace(seconds_since_owner_left=2.05)
        assert decide(later) == OwnershipAction.TAKE


class TestOwnershipManager:
    def test_every_pool_has_one_owner(self):
        """Guards against pools without an owner or with two."""
        cluster = Cluster(pools=POOLS)
        managers = make_managers(cluster, "c-1", "c-2", "c-3")
        step_all(cluster, managers, 2.0)
        assert owners(cluster) == {p: choose_owner(p, managers) for p in POOLS}
        owned = [p for manager in managers.values() for p in manager.ownership_by_pool]
        assert sorted(owned) == sorted(POOLS)

    def test_unchanged_owners_are_read_seldom(self, monkeypatch):
        """Guards against reading the rows of unchanged owners in every step.

        With 42 pools these are 84 reads a second.
        """
        cluster = Cluster(pools=POOLS)
        managers = make_managers(cluster, "c-1", "c-2")
        step_all(cluster, managers, 15.0)
        n_reads = 0
        read = cluster.manager_table.read

        def count(row_keys):
            nonlocal n_reads
            n_reads += owner_key(POOLS[0]) in row_keys
            return read(row_keys)

        monkeypatch.setattr(cluster.manager_table, "read", count)
        step_all(cluster, managers, 10.0)
        assert n_reads <= 2 * 3

    def test_evicted_owner_is_replaced_with_a_higher_epoch(self):
        """Guards against a takeover that does not fence the old owner."""
        cluster = Cluster(pools=("p-0",))
        managers = make_managers(cluster, "c-1")
        step_all(cluster, managers, 1.0)
        cluster.add_member("c-1", is_evicted=True)
        successor = make_managers(cluster, "c-2")
        step_all(cluster, successor, 2.0)
        assert owners(cluster) == {"p-0": "c-1"}
        step_all(cluster, successor, 1.0)
        assert successor["c-2"].ownership_by_pool["p-0"].epoch == 2
        lost = step_all(cluster, managers, 0.5)[0].lost
        assert lost == ["p-0"]

    def test_new_controller_gets_its_pools_after_their_release(self):
        """Guards against a new controller that gets no pools.

        It must also not take over a pool before its owner has released it.
        """
        cluster = Cluster(pools=POOLS)
        managers = make_managers(cluster, "c-1")
        step_all(cluster, managers, 1.0)
        managers |= make_managers(cluster, "c-2")
        step_all(cluster, managers, 8.0)
        assert set(owners(cluster).values()) == {"c-1"}
        step_all(cluster, managers, 6.0)
        assert owners(cluster) == {p: choose_owner(p, managers) for p in POOLS}

    def test_lost_answer_to_a_takeover(self):
        """Guards against a pool that its owner does not run after a lost answer."""
        cluster = Cluster(pools=("p-0",), wrap_table=LossyTable)
        managers = make_managers(cluster, "c-1")
        cluster.manager_table.n_lost_answers = 1
        step_all(cluster, managers, 1.0)
        assert list(managers["c-1"].ownership_by_pool) == ["p-0"]


class TestVmList:
    def test_last_list_is_kept_while_the_list_is_down(self):
        """Guards against dropping the known VMs while the list is not available."""
        cluster = Cluster()
        cluster.add_vm("vm-0")
        lists = [cluster.vm_list.list_vms(), Unavailable(Reason.TIMEOUT, "vm-list")]
        vm_list = SimpleNamespace(list_vms=lambda: lists.pop(0))
        services = cluster.services(cluster.membership("c-1"))
        seen, registered = [], []
        actor = VmListActor.start(
            services._replace(vm_list=vm_list),
            SimpleNamespace(step=lambda *args: registered.append(list(args[1]))),
            SimpleNamespace(tell=lambda message: seen.append(message)),
        )
        try:
            actor.ask(Tick())
            actor.ask(Tick())
        finally:
            actor.stop()
        assert [list(message.listed_by_vm) for message in seen] == [["vm-0"]]
        assert registered == [["vm-0"], ["vm-0"]]


class TestRegistrar:
    def test_new_vm_goes_to_the_spare_pool(self):
        """Guards against new VMs without a pool and against moving known ones."""
        cluster = Cluster(pools=("p", "q"))
        pools = cluster.environment.pool_by_name
        spare = pools["q"]._replace(is_spare=True)
        cluster.environment = cluster.environment._replace(
            pool_by_name={**pools, "q": spare}
        )
        cluster.add_vm("known", "p")
        cluster.set_status("known", VmStatus.LIVE)
        known = cluster.vm_list.list_vms()[0]
        cluster.vm_list.put({**known._asdict(), "vm_id": "new"})
        ownership = cluster.add_owner("q").state.ownership
        membership = cluster.membership("c-1")
        registrar = Registrar(cluster.services(membership))
        listed = {vm.vm_id: vm for vm in cluster.vm_list.list_vms()}
        n = registrar.step(membership.snapshot(), listed, {"q": ownership})
        assert n == 1
        rows = cluster.table.read([vm_key("known"), vm_key("new")])
        assert rows[vm_key("known")].value["pool"] == "p"
        assert rows[vm_key("new")].value["pool"] == "q"
        assert choose_pool(cluster.environment, "p") == "p"
