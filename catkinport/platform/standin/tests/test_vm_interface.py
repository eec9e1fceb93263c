"""Tests of the stand-in's interface for VMs while it is switched off."""

import asyncio

from ....ports import Unavailable
from ....ports.fleet_vms import VmState
from ....runtime import Metrics
from ...client import PlatformClient
from ...vms import PlatformVms
from ..server import StandinServer
from ..vms import FleetSize

N_VMS = 4


async def order_upkeeps(**faults) -> list[tuple[Unavailable, VmState]]:
    """Order an upkeep of each VM under faults; return outcomes and VM states."""
    server = StandinServer(FleetSize(1, N_VMS, 0))
    await server.start()
    client = PlatformClient(Metrics())
    await client.open()
    vms = PlatformVms(client, server.address, "entry-0")
    server.faults.update(faults)
    results = []
    for number in range(N_VMS):
        outcome = await vms.maintain(f"m-{number}", 1, 1)
        results.append((outcome, server._fleet.vm_by_id[f"m-{number}"].state))
    await client.close()
    await server.stop()
    return results


class TestInterfaceDown:
    def test_orders_are_refused_and_carried_out_without_an_answer_by_turns(self):
        """Guards against a stand-in that carries out an order that it refuses.

        The platform does nothing for a call that it answers with status 503.
        """
        results = asyncio.run(order_upkeeps(is_vm_interface_down=True))
        assert [(o.may_have_committed, state) for o, state in results] == [
            (False, VmState.UP),
            (True, VmState.UPKEEP),
        ] * (N_VMS // 2)


class TestShareOfOrders:
    def test_refused_orders_are_not_carried_out(self):
        """Guards against a condition that takes down VMs whose orders are refused."""
        results = asyncio.run(order_upkeeps(refused_vm_orders=1.0))
        assert [(o.may_have_committed, state) for o, state in results] == [
            (False, VmState.UP)
        ] * N_VMS

    def test_every_other_lost_order_is_carried_out(self):
        """Guards against a condition under which lost orders all have one effect."""
        results = asyncio.run(order_upkeeps(lost_vm_orders=1.0))
        assert all(outcome.may_have_committed for outcome, _ in results)
        states = [state for _, state in results]
        assert states == [VmState.UP, VmState.UPKEEP] * (N_VMS // 2)
