"""Client of the platform's service that lists, moves and maintains VMs."""

from collections.abc import Mapping
from typing import Any

from ..policy.adaptive_timeout import AdaptiveTimeout
from ..ports import Reason, Unavailable
from ..ports.fleet_vms import FleetVm, VmState
from ..ports.fleet_workers import Done, OrderOutcome, Rejected, Rejection
from . import decoding
from .client import PlatformClient, Reply

MIN_CALL_TIMEOUT_SECONDS = 1.5
"""Lower bound of the wait for an answer; without faults a list takes up to 17 ms."""

MAX_CALL_TIMEOUT_SECONDS = 6.0
"""Upper bound of that wait, for a service that is always slow."""

CALL_TIMEOUT_FACTOR = 2.0
"""Wait for an answer as a multiple of the time of recent answers."""

MAX_PAGES = 50
"""Most pages of one list, so that a list without an end does not block the caller."""

HOLDER_HEADER = "X-Catkinport-Lease-Holder"
TOKEN_HEADER = "X-Catkinport-Fencing-Token"

_REJECTION_BY_REASON = {"fence": Rejection.FENCED, "busy": Rejection.NOT_UP}


class PlatformVms:
    """Implements `ports.fleet_vms.FleetVms`.

    Args:
        client: HTTP client.
        address: ``host:port`` of the service.
        holder: name of this daemon, sent as the holder of the ownership lease.
    """

    def __init__(self, client: PlatformClient, address: str, holder: str) -> None:
        self._client = client
        self._address = address
        self._holder = holder
        self._timeout = AdaptiveTimeout(
            MIN_CALL_TIMEOUT_SECONDS,
            MAX_CALL_TIMEOUT_SECONDS,
            CALL_TIMEOUT_FACTOR,
            n_lost_answers=0,
        )

    async def list_vms(self) -> list[FleetVm] | Unavailable:
        """Read all VMs."""
        vms: list[FleetVm] = []
        token = None
        for _ in range(MAX_PAGES):
            query = {"PageToken": str(token)} if token else None
            reply = await self._call(
                "vm-list", "GET", "/machines", query=query, is_size_bounded=False
            )
            if isinstance(reply, Unavailable):
                return reply
            if reply.status != 200:
                return self._unexpected_status("vm-list", reply)
            try:
                message = decoding.mapping(reply.body, "the list of VMs")
                for entry in decoding.objects(message, "Machines"):
                    vms.append(_decode_vm(entry))
                token = message.get("NextToken")
            except decoding.MessageError as error:
                detail = f"unreadable answer: {error!r}"[:200]
                return Unavailable(
                    Reason.ANSWER_TRUNCATED, "vm-list", self._address, detail
                )
            if not token:
                return vms
        detail = f"the list has more than {MAX_PAGES} pages"
        return Unavailable(Reason.ANSWER_TRUNCATED, "vm-list", self._address, detail)

    async def move(self, vm_id: str, pool: str, token: int) -> OrderOutcome:
        """Order the move of a VM to another pool.

        Args:
            vm_id: the VM.
            pool: name of the other pool.
            token: fencing token of the owner.
        """
        body = {"Machine": vm_id, "Pool": pool}
        return await self._send_order("vm-move", "/machine-move", body, token)

    async def maintain(self, vm_id: str, wave: int, token: int) -> OrderOutcome:
        """Order the maintenance of a VM, which takes it down for a while.

        Args:
            vm_id: the VM.
            wave: number of the maintenance wave that asks for it.
            token: fencing token of the owner.
        """
        body = {"Machine": vm_id, "Wave": wave}
        return await self._send_order("vm-upkeep", "/machine-upkeep", body, token)

    async def _call(
        self, step: str, method: str, path: str, **arguments: Any
    ) -> Reply | Unavailable:
        """Call the service; wait for longer if its answers have taken long."""
        timeout_seconds = self._timeout.seconds
        reply = await self._client.call(
            step, method, self._address, path, timeout_seconds, **arguments
        )
        if isinstance(reply, Reply):
            self._timeout.on_answer(reply.wait_seconds)
        elif reply.reason is Reason.TIMEOUT:
            self._timeout.on_timeout(timeout_seconds)
        return reply

    async def _send_order(
        self, step: str, path: str, body: Mapping[str, Any], token: int
    ) -> OrderOutcome:
        headers = {HOLDER_HEADER: self._holder, TOKEN_HEADER: str(token)}
        reply = await self._call(step, "POST", path, body=body, headers=headers)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 200:
            return Done()
        if reply.status == 409:
            reason = reply.body.get("Reason") if isinstance(reply.body, dict) else ""
            return Rejected(_REJECTION_BY_REASON.get(str(reason), Rejection.INVALID))
        if reply.status == 400:
            return Rejected(Rejection.INVALID)
        return self._unexpected_status(step, reply)

    def _unexpected_status(self, step: str, reply: Reply) -> Unavailable:
        detail = f"status {reply.status}"
        may_have_committed = reply.status not in (429, 503)
        return Unavailable(
            Reason.STORE_UNAVAILABLE, step, self._address, detail, may_have_committed
        )


def _decode_vm(entry: Mapping[str, Any]) -> FleetVm:
    return FleetVm(
        vm_id=decoding.string(entry, "Machine"),
        pool=decoding.string(entry, "Pool"),
        state=_decode_state(decoding.string(entry, "State")),
        zone=decoding.string(entry, "Zone", ""),
        labels=decoding.strings(entry, "Labels"),
        capacity=decoding.resources(
            decoding.mapping(entry.get("Capacity") or {}, "Capacity")
        ),
        # Empty while no worker runs: the VM is off, moving or down.
        worker_id=decoding.check_string(entry.get("Id") or "", "Id"),
    )


def _decode_state(state: str) -> VmState:
    try:
        return VmState(state)
    except ValueError as error:
        raise decoding.MessageError(f"unknown state of a VM: {state!r:.40}") from error
