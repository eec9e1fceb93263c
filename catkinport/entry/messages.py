"""Messages of the entry's actors.

An allowance is the part of a team's limit that this entry may use. The table service
keeps one row a team with the amount of each entry.
"""

from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from ..policy.admission import WaitingRequest
from ..policy.limits import AllowanceSnapshot, HolderNeed
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
        request: the request that waits.
        service: service to call.
        excluded: addresses of the servers that the last attempt used. They are chosen
            only if no other server has a free slot.
        is_requeued: whether the request was admitted before. It is then next of its
            team, and a full queue does not refuse it.
        future: canceled by a caller that no longer waits.
    """

    request: WaitingRequest
    service: Service
    excluded: frozenset[str]
    is_requeued: bool
    future: "Future[Grant | NotRun]"


class Withdraw(NamedTuple):
    """Remove a request that no longer waits from the queue of its service."""

    request: WaitingRequest
    service: str


class Release(NamedTuple):
    """Release a slot.

    Args:
        grant: the slot.
        is_failure: whether the server failed.
        is_full: whether the server refused because it is full.
    """

    grant: Grant
    is_failure: bool = False
    is_full: bool = False


class ServingChanged(NamedTuple):
    """The serving VMs of all pools, by pool and VM id."""

    serving_vm_by_id_by_pool: Mapping[str, Mapping[str, ServingVm]]


class AllowanceRead(NamedTuple):
    """A team's allowance row, and the member id under which the entry read it."""

    member_id: str
    team: str
    reading: AllowanceSnapshot


class LowerAllowance(NamedTuple):
    """Use at most ``amount`` until the next read; the reply is the units in use."""

    team: str
    amount: int


class SetCeiling(NamedTuple):
    """Start no request above ``amount`` before ``until``; running ones continue."""

    team: str
    amount: int
    until: float


class ListNeeds(NamedTuple):
    """Ask for the ``TeamNeed`` by team, for teams with requests or allowances."""


class Wake(NamedTuple):
    """Dispatch requests that wait until a full server may be tried again."""


class TeamNeed(NamedTuple):
    """What a team needs now, and the last reading of its row, if there is one.

    ``is_short`` tells that requests wait and no part of the allowance is free.
    """

    need: HolderNeed
    is_short: bool
    reading: AllowanceSnapshot | None


class Shortage(NamedTuple):
    """A team has waiting requests and no free part of its allowance.

    ``is_changed`` tells that a peer has just returned units, so that the row is read
    at once.
    """

    team: str
    is_changed: bool = False


class Tick(NamedTuple):
    """Do the periodic work: balance the allowances, or retry failed store writes."""


class ReturnForPeer(NamedTuple):
    """Return units for a peer; the reply is the amount returned at once."""

    team: str
    wanted: int


class ReturnAll(NamedTuple):
    """Return all amounts before the entry stops; the reply comes when it is done."""


class CommitClaim(NamedTuple):
    """Commit a transaction in a batch; ``future`` gets its ``CommitOutcome``."""

    transaction: Transaction
    future: Future


class RetryOnTick(NamedTuple):
    """Call ``operation`` on every ``Tick`` until it returns true."""

    operation: Callable[[], bool]


class PoolsQuery(NamedTuple):
    """Pools whose serving VMs are read, and the generation of the fleet.

    The generation counts the changes so far of which VMs serve.
    """

    generation: int
    pools: Sequence[str]
