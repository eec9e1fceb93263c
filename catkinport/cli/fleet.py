"""Commands on VMs and on maintenance."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from .api import path_of
from .exit_codes import Failure
from .output import Report, Table
from .session import Session

_VM_COLUMNS = (
    "vm_id", "pool", "state", "operation", "target_pool", "zone", "rack", "version",
)  # fmt: skip
_PLAN_COLUMNS = (
    "pool", "n_vms", "n_due", "n_unavailable", "max_unavailable", "next_vms",
)  # fmt: skip
VmId = Annotated[str, cappa.Arg(help="The VM.")]
ExpectedVersion = Annotated[
    int | None,
    cappa.Arg(long="--expected-version", help="Version of the VM, see vm list."),
]


@cappa.command(name="list", help="List VMs.")
@dataclass
class VmList:
    """Command that lists VMs."""

    pool: Annotated[str, cappa.Arg(long=True, help="Only VMs of this pool.")] = ""
    state: Annotated[str, cappa.Arg(long=True, help="Only VMs in this state.")] = ""

    def run(self, session: Session) -> Report | Failure:
        """Return the VMs."""
        answer = read_resource(session, "/v1/vms", pool=self.pool, state=self.state)
        if isinstance(answer, Failure):
            return answer
        return Report(answer, tables=[Table(_VM_COLUMNS, answer["vms"])])


@cappa.command(name="drain", help="Drain a VM if its pool's budget allows it.")
@dataclass
class VmDrain:
    """Command that drains a VM."""

    vm_id: VmId
    expected_version: ExpectedVersion = None

    def run(self, session: Session) -> Report | Failure:
        """Return the VM's new state."""
        return _change_vm(session, self.vm_id, "drain", self.expected_version)


@cappa.command(name="undrain", help="Let a drained VM serve again.")
@dataclass
class VmUndrain:
    """Command that ends the drain of a VM."""

    vm_id: VmId
    expected_version: ExpectedVersion = None

    def run(self, session: Session) -> Report | Failure:
        """Return the VM's new state."""
        return _change_vm(session, self.vm_id, "undrain", self.expected_version)


@cappa.command(name="move", help="Drain a VM, then move it to another pool.")
@dataclass
class VmMove:
    """Command that moves a VM to another pool."""

    vm_id: VmId
    pool: Annotated[str, cappa.Arg(help="The pool to move to.")]
    expected_version: ExpectedVersion = None

    def run(self, session: Session) -> Report | Failure:
        """Return the VM's new state."""
        body = {"pool": self.pool}
        return _change_vm(session, self.vm_id, "move", self.expected_version, body)


@cappa.command(name="vm", help="List, drain, undrain and move VMs.")
@dataclass
class VmCommand:
    """Group of the commands on VMs."""

    command: cappa.Subcommands[VmList | VmDrain | VmUndrain | VmMove]

    def run(self, session: Session) -> Report | Failure:
        """Run the chosen command of the group."""
        return self.command.run(session)


@cappa.command(
    name="plan", help="Show how many VMs are due for maintenance and which are next."
)
@dataclass
class MaintenancePlan:
    """Command that shows the plan of maintenance."""

    def run(self, session: Session) -> Report | Failure:
        """Return the plan of each pool."""
        answer = read_resource(session, "/v1/maintenance/plan")
        if isinstance(answer, Failure):
            return answer
        rows = [
            {**pool, "next_vms": " ".join(pool["next_vms"])} for pool in answer["pools"]
        ]
        return Report(answer, tables=[Table(_PLAN_COLUMNS, rows)])


@cappa.command(name="start", help="Start maintenance, or resume it after a pause.")
@dataclass
class MaintenanceStart:
    """Command that starts or resumes maintenance."""

    def run(self, session: Session) -> Report | Failure:
        """Return the new state."""
        answer = send_change(session, "POST", "/v1/maintenance/start")
        return _report(answer, "maintenance is started")


@cappa.command(
    name="pause", help="Pause maintenance; VMs already under maintenance are finished."
)
@dataclass
class MaintenancePause:
    """Command that pauses maintenance."""

    def run(self, session: Session) -> Report | Failure:
        """Return the new state."""
        answer = send_change(session, "POST", "/v1/maintenance/pause")
        return _report(answer, "maintenance is paused")


@cappa.command(name="maintenance", help="Plan, start and pause maintenance.")
@dataclass
class MaintenanceCommand:
    """Group of the commands on maintenance."""

    command: cappa.Subcommands[MaintenancePlan | MaintenanceStart | MaintenancePause]

    def run(self, session: Session) -> Report | Failure:
        """Run the chosen command of the group."""
        return self.command.run(session)


def read_resource(
    session: Session, path: str, **query: str
) -> dict[str, Any] | Failure:
    """Return a resource of the API or why it can't be read."""
    client = session.connect()
    return client if isinstance(client, Failure) else client.get(path, **query)


def send_change(
    session: Session, method: str, path: str, body: dict[str, Any] | None = None
) -> dict[str, Any] | Failure:
    """Send a change to the API and return the answer or why it failed."""
    client = session.connect()
    return client if isinstance(client, Failure) else client.change(method, path, body)


def _change_vm(
    session: Session,
    vm_id: str,
    operation: str,
    expected_version: int | None,
    body: dict[str, Any] | None = None,
) -> Report | Failure:
    body = {**(body or {}), "expected_version": expected_version}
    answer = send_change(session, "POST", path_of("vms", vm_id, operation), body)
    if isinstance(answer, Failure):
        return answer
    line = f"{vm_id} of pool {answer['pool']} is {answer['state']}"
    return Report(answer, [f"{line}, version {answer['version']}"])


def _report(answer: dict[str, Any] | Failure, line: str) -> Report | Failure:
    return answer if isinstance(answer, Failure) else Report(answer, [line])
