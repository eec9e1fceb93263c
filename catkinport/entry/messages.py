"""Messages of the entry's actors."""

from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from ..policy.admission import WaitingRequest
from ..policy.limits import HolderNeed, Reading
from ..ports import NotRun, Transaction
from ..settings.environment import Service
from ..state import ServingVm


class Grant(NamedTuple):
    """A slot of a backend server, held until ``Release``."""

    address: str
    service: str
    team: str
    is_urgent: bool
    granted_at: float


class Admit(NamedTuple):
    """Ask for a slot; ``future`` gets a ``Grant`` or a ``NotRun``.

    Args:
        request: who asks.
        service: service to call.
        excluded: servers that have just refused this request.
        is_again: whether it was admitted before, so that a full queue keeps it.
        future: cancelled by a caller that no longer waits.
    """

    request: WaitingRequest
    service: Service
    excluded: frozenset[str]
    is_again: bool
    future: "Future[Grant | NotRun]"


class Withdraw(NamedTuple):
    """A request no longer waits."""

    request: WaitingRequest
    service: str


class Release(NamedTuple):
    """A slot is free again.

    Args:
        grant: the slot.
        is_failure: whether the server failed.
        is_full: whether the server refused because it is full.
    """

    grant: Grant
    is_failure: bool = False
    is_full: bool = False


class ServingChanged(NamedTuple):
    """The backend servers of a pool, by VM id."""

    serving_vm_by_id_by_pool: Mapping[str, Mapping[str, ServingVm]]


class AllowanceRead(NamedTuple):
    """A team's row as the entry read it under its id."""

    member_id: str
    team: str
    reading: Reading


class LowerAllowance(NamedTuple):
    """Use at most ``amount`` until the next read; answered with the units in use."""

    team: str
    amount: int


class SetCeiling(NamedTuple):
    """Start nothing above ``amount`` until ``until``; running work goes on."""

    team: str
    amount: int
    until: float


class ListNeeds(NamedTuple):
    """Answered with ``dict[str, TeamNeed]`` of all teams with work or amounts."""


class Wake(NamedTuple):
    """Look again at requests that wait for a server on hold."""


class TeamNeed(NamedTuple):
    """What a team needs now, and the last reading; ``None`` if there is none."""

    need: HolderNeed
    is_short: bool
    reading: Reading | None


class Shortage(NamedTuple):
    """A team has waiting work and no free part of its allowance.

    ``is_changed`` tells that a peer has just returned some, so that the row is read
    without delay.
    """

    team: str
    is_changed: bool = False


class Tick(NamedTuple):
    """Time to look at the allowances."""


class ReturnIdle(NamedTuple):
    """A peer is short; answered with the amount that was returned."""

    team: str
    wanted: int


class ReturnAll(NamedTuple):
    """The entry stops; answered when its amounts are returned."""


class CommitClaim(NamedTuple):
    """Commit a transaction together with others of the same moment."""

    transaction: Transaction
    future: Future


class Later(NamedTuple):
    """Call ``operation`` on every ``Tick`` until it returns true."""

    operation: Callable[[], bool]


class ReadPools(NamedTuple):
    """Read the serving VMs of pools."""

    generation: int
    pools: Sequence[str]
