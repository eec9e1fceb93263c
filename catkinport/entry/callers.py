"""Decides who a request counts for and whether it may enter."""

from typing import NamedTuple

from ..membership.interface import Snapshot
from ..ports import Clock, Reason, Refused
from ..settings.environment import Environment, Queue, Team
from ..settings.keys import check_key


class Entrant(NamedTuple):
    """A request that may enter.

    Args:
        team: team that it counts for.
        account: account of the key, empty without a key.
        queue: the queue.
        environment: the configuration it was checked against.
        authorization: the caller's header; empty on an open queue without a key.
        member_id: the entry's id at the check.
    """

    team: Team
    account: str
    queue: Queue
    environment: Environment
    authorization: str
    member_id: str

    @property
    def is_keyed(self) -> bool:
        """Whether the request rests on a key."""
        return bool(self.authorization)


def check_entrant(
    snapshot: Snapshot, clock: Clock, queue_name: str, authorization: str | None
) -> Entrant | Refused:
    """Check queue, key, team and the freshness of the configuration."""
    environment = snapshot.environment
    if environment is None:
        return _refuse(Reason.CONFIGURATION_STALE, "there is no configuration yet")
    queue = environment.queue_by_name.get(queue_name)
    if queue is None:
        return _refuse(Reason.QUEUE_UNKNOWN, f"there is no queue {queue_name!r}")
    if queue.is_open and not authorization:
        team = environment.team_by_name[queue.open_team]
        return Entrant(team, "", queue, environment, "", snapshot.member_id)
    if not snapshot.is_fresh(clock.now()):
        detail = "the entry cannot confirm that its configuration is in force"
        return _refuse(Reason.CONFIGURATION_STALE, detail)
    caller = check_key(environment, authorization)
    if isinstance(caller, Refused):
        return caller
    if queue.teams and caller.team.name not in queue.teams:
        detail = f"team {caller.team.name!r} may not use queue {queue_name!r}"
        return _refuse(Reason.TEAM_NOT_ALLOWED, detail)
    return Entrant(
        caller.team,
        caller.account.name,
        queue,
        environment,
        authorization or "",
        snapshot.member_id,
    )


def check_again(entrant: Entrant, snapshot: Snapshot, clock: Clock) -> Refused | None:
    """Check right before bytes are sent that the request may still run.

    It may have waited, or the process was suspended. A member that registered anew
    does not send what it admitted, or claimed, under its old id.
    """
    if not entrant.is_keyed:
        return None
    if not snapshot.is_fresh(clock.now()) or snapshot.member_id != entrant.member_id:
        return _refuse(Reason.CONFIGURATION_STALE, "the freshness lease has ended")
    if snapshot.environment is entrant.environment:
        return None
    checked = check_entrant(snapshot, clock, entrant.queue.name, entrant.authorization)
    return checked if isinstance(checked, Refused) else None


def _refuse(reason: Reason, detail: str) -> Refused:
    return Refused(reason, "admission", detail=detail)
