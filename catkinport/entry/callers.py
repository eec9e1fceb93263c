"""Authorizes callers' requests, and finds the team that each counts for."""

from typing import NamedTuple

from ..membership.interface import MembershipSnapshot
from ..ports import Clock, Reason, Refused
from ..settings.environment import Environment, Queue, Team
from ..settings.keys import check_key


class AuthorizedRequest(NamedTuple):
    """An authorized request.

    Args:
        team: team whose limits the request counts against.
        account: account of the key; empty without a key.
        queue: queue that the request is for.
        environment: configuration that the request was checked against.
        authorization: the caller's ``Authorization`` header; empty for a request
            without a key on an open queue.
        member_id: member id of the entry at the time of the check.
    """

    team: Team
    account: str
    queue: Queue
    environment: Environment
    authorization: str
    member_id: str

    @property
    def is_keyed(self) -> bool:
        """Whether the request was authorized by a key."""
        return bool(self.authorization)


def authorize(
    snapshot: MembershipSnapshot,
    clock: Clock,
    queue_name: str,
    authorization: str | None,
) -> AuthorizedRequest | Refused:
    """Check that the queue exists, and that a valid key allows its use.

    A key is checked only while the freshness lease shows that the configuration is in
    force. An open queue needs no key.
    """
    environment = snapshot.environment
    if environment is None:
        return _refuse(Reason.CONFIGURATION_STALE, "there is no configuration yet")
    queue = environment.queue_by_name.get(queue_name)
    if queue is None:
        return _refuse(Reason.QUEUE_UNKNOWN, f"there is no queue {queue_name!r}")
    if queue.is_open and not authorization:
        team = environment.team_by_name[queue.open_team]
        return AuthorizedRequest(team, "", queue, environment, "", snapshot.member_id)
    if not snapshot.is_fresh(clock.now()):
        detail = "the entry cannot confirm that its configuration is in force"
        return _refuse(Reason.CONFIGURATION_STALE, detail)
    caller = check_key(environment, authorization)
    if isinstance(caller, Refused):
        return caller
    if queue.teams and caller.team.name not in queue.teams:
        detail = f"team {caller.team.name!r} may not use queue {queue_name!r}"
        return _refuse(Reason.TEAM_NOT_ALLOWED, detail)
    return AuthorizedRequest(
        caller.team,
        caller.account.name,
        queue,
        environment,
        authorization or "",
        snapshot.member_id,
    )


def reauthorize(
    authorized: AuthorizedRequest, snapshot: MembershipSnapshot, clock: Clock
) -> Refused | None:
    """Check again, right before the request is sent, that it may run.

    The request may have waited, or the process may have been suspended. A member that
    registered anew does not send what it admitted or claimed under its former id,
    because another entry may have marked that claim as unknown since.
    """
    if not authorized.is_keyed:
        return None
    if not snapshot.is_fresh(clock.now()) or snapshot.member_id != authorized.member_id:
        return _refuse(
            Reason.CONFIGURATION_STALE,
            "the freshness lease has ended or the entry has registered anew",
        )
    if snapshot.environment is authorized.environment:
        return None
    checked = authorize(
        snapshot, clock, authorized.queue.name, authorized.authorization
    )
    return checked if isinstance(checked, Refused) else None


def _refuse(reason: Reason, detail: str) -> Refused:
    return Refused(reason, "admission", detail=detail)
