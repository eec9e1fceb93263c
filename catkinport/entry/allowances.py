"""The actor that takes, returns and reclaims allowances in the table service.

An allowance is the part of a team's limit that one entry, its holder, may use. Each
team has a row with the amounts of all holders, whose sum is kept within the limit. An
entry is short if requests of the team wait there and all of its allowance is in use.
"""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka

from ..membership.interface import MembershipSnapshot
from ..policy.limits import (
    HolderNeed,
    adjust_amount,
    fair_share,
    is_reclaimable,
    read_amounts,
    reclaim,
    target_amount,
)
from ..ports import (
    ABSENT_VERSION,
    Committed,
    Condition,
    RowKey,
    Transaction,
    Unavailable,
    Write,
)
from ..runtime import log_event
from ..state import allowance_key
from . import messages
from .services import EntryServices

logger = logging.getLogger(__name__)

RESOURCE = "slots"
# Length of the freshness lease, without which an entry admits no request with a key.
LEASE_SECONDS = 2.0
# Shortest time between two requests to peers for units of the same team's limit.
PEER_REQUEST_SECONDS = 0.2
# An allowance is a holder's part of a team's upper limit, in units of that limit. A
# peer is short if all of its allowance is in use while requests wait. This is how long
# a holder limits its own use after such a peer asked it for units; after that, its
# amount follows its own need again.
CEILING_SECONDS = 1.0
# Bounds of the interval between reads of a team's row, which doubles while the reads
# change nothing. At the maximum, with 26 teams short of allowance at once, an entry
# reads 26 rows a second, about 15 KB/s.
MIN_INTERVAL_SECONDS = 0.05
MAX_INTERVAL_SECONDS = 1.0
N_ATTEMPTS = 5
_NO_NEED = HolderNeed(0, 0)

Change = Callable[[dict[str, int]], dict[str, int]]


class AllowanceActor(pykka.ThreadingActor):
    """Adjusts the entry's amounts to the need of each team.

    Args:
        services: ports and shared objects.
        dispatcher: the actor that uses the amounts.
    """

    def __init__(self, services: EntryServices, dispatcher: Any) -> None:
        super().__init__()
        self._services = services
        self._dispatcher = dispatcher
        self._gone_since_by_holder: dict[str, float] = {}
        self._ceiling_by_team: dict[str, messages.SetCeiling] = {}
        self._interval_by_team: dict[str, float] = {}
        self._due_by_team: dict[str, float] = {}
        self._asked_at_by_team: dict[str, float] = {}
        # Version of the row on which the latest commit without an answer depends. It
        # may still be carried out while the row has this version.
        self._undecided_version_by_team: dict[str, int] = {}
        self._executor = ThreadPoolExecutor(2, thread_name_prefix="allowance-peers")

    def on_stop(self) -> None:
        """Stop asking peers."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: Any) -> Any:
        """Handle a message; the reply to ``ReturnForPeer`` is the units freed."""
        match message:
            case messages.Tick():
                return self._balance_all()
            case messages.Shortage():
                if message.is_changed or self._is_due(message.team):
                    self._balance(message.team)
                return None
            case messages.ReturnForPeer():
                return self._return_for_peer(message)
            case messages.ReturnAll():
                return self._return_all()

    def _balance_all(self) -> None:
        snapshot = self._services.membership.snapshot()
        for team, need in self._list_needs().items():
            limit = _find_limit(snapshot, team)
            if limit is None or not self._is_due(team):
                continue
            if need.is_short or self._needs_balance(team, limit, need):
                self._balance(team)

    def _needs_balance(self, team: str, limit: int, need: messages.TeamNeed) -> bool:
        """Return whether the amount has to change although no request waits."""
        reading = need.reading
        if reading is None or reading.own == 0:
            return False
        most = target_amount(need.need)
        ceiling = self._find_ceiling(team)
        if ceiling is not None:
            most = min(most, max(ceiling, need.need.in_use))
        is_lowered = reading.own + reading.others > limit
        return reading.own > most or reading.limit != limit or is_lowered

    def _is_due(self, team: str) -> bool:
        return self._services.clock.now() >= self._due_by_team.get(team, 0.0)

    def _schedule_next_read(self, team: str, is_changed: bool) -> None:
        """Set when a team's row is read next; double the interval without a change."""
        interval = MIN_INTERVAL_SECONDS
        if not is_changed:
            interval = 2 * self._interval_by_team.get(team, MIN_INTERVAL_SECONDS)
        interval = min(MAX_INTERVAL_SECONDS, interval)
        self._interval_by_team[team] = interval
        self._due_by_team[team] = self._services.clock.now() + interval

    def _balance(self, team: str) -> dict[str, int] | None:
        snapshot = self._services.membership.snapshot()
        limit = _find_limit(snapshot, team)
        if limit is None or not snapshot.is_fresh(self._services.clock.now()):
            return None
        needs = self._list_needs().get(team)
        need = needs.need if needs else _NO_NEED
        is_short = needs is not None and needs.is_short

        def change(amounts: dict[str, int]) -> dict[str, int]:
            kept = reclaim(amounts, self._find_reclaimable(snapshot, amounts))
            return adjust_amount(
                limit, kept, snapshot.member_id, need, self._find_ceiling(team)
            )

        amounts = self._change_row(snapshot.member_id, team, limit, change)
        before = needs.reading.own if needs and needs.reading else 0
        after = amounts.get(snapshot.member_id, 0) if amounts is not None else before
        self._schedule_next_read(team, is_changed=after != before)
        if amounts is not None and is_short:
            self._ask_peer(snapshot, team, amounts, need)
        return amounts

    def _change_row(
        self, member_id: str, team: str, limit: int, change: Change
    ) -> dict[str, int] | None:
        """Apply ``change`` to the row.

        The row is also written without a change if an earlier commit on the same
        version had no answer: that commit may return units later that are used again.

        Returns:
            The amounts in the row, or ``None`` if it could not be changed.
        """
        table = self._services.table
        row_key = allowance_key(team, RESOURCE)
        for _ in range(N_ATTEMPTS):
            rows = table.read([row_key])
            if isinstance(rows, Unavailable):
                return None
            row = rows.get(row_key)
            version = row.version if row else ABSENT_VERSION
            is_undecided = self._undecided_version_by_team.get(team) == version
            amounts = dict(row.value["amount_by_holder"]) if row else {}
            changed = change(amounts)
            if changed == amounts and not is_undecided:
                self._publish_reading(member_id, team, limit, amounts)
                return amounts
            self._lower_use_first(member_id, team, amounts, changed)
            if changed == amounts and not is_undecided:
                continue
            outcome = table.commit(_build_write(row_key, version, changed))
            if isinstance(outcome, Committed):
                self._publish_reading(member_id, team, limit, changed)
                return changed
            if isinstance(outcome, Unavailable):
                if not outcome.may_have_committed:
                    return None
                self._undecided_version_by_team[team] = version
        return None

    def _lower_use_first(
        self, member_id: str, team: str, amounts: dict, changed: dict
    ) -> None:
        """Stop using the units to be returned before another holder can take them.

        Units in use are kept in ``changed``, so that it may be equal to ``amounts``.
        """
        new = changed.get(member_id, 0)
        if new >= amounts.get(member_id, 0):
            return
        in_use = self._dispatcher.ask(messages.LowerAllowance(team, new))
        if in_use > new:
            changed[member_id] = min(in_use, amounts[member_id])

    def _publish_reading(
        self, member_id: str, team: str, limit: int, amounts: dict[str, int]
    ) -> None:
        reading = read_amounts(limit, amounts, member_id)
        self._dispatcher.tell(messages.AllowanceRead(member_id, team, reading))

    def _find_reclaimable(
        self, snapshot: MembershipSnapshot, amounts: dict
    ) -> list[str]:
        now = self._services.clock.now()
        longest = max(
            (
                s.max_request_seconds
                for s in snapshot.environment.service_by_name.values()
            ),
            default=0.0,
        )
        reclaimable = []
        for holder in amounts:
            record = snapshot.member_by_id.get(holder)
            if record is not None and not record.is_evicted:
                self._gone_since_by_holder.pop(holder, None)
                continue
            gone_since = self._gone_since_by_holder.setdefault(holder, now)
            if is_reclaimable(now - gone_since, LEASE_SECONDS, longest):
                reclaimable.append(holder)
        return reclaimable

    def _ask_peer(
        self, snapshot: MembershipSnapshot, team: str, amounts: dict, need: HolderNeed
    ) -> None:
        now = self._services.clock.now()
        wanted = need.wanted - amounts.get(snapshot.member_id, 0)
        asked_at = self._asked_at_by_team.get(team, float("-inf"))
        peers = {
            holder: amount
            for holder, amount in amounts.items()
            if holder != snapshot.member_id and holder in snapshot.member_by_id
        }
        if wanted <= 0 or not peers or now - asked_at < PEER_REQUEST_SECONDS:
            return
        self._asked_at_by_team[team] = now
        peer = max(peers, key=lambda holder: peers[holder])
        self._executor.submit(self._request_return, peer, team, wanted)

    def _request_return(self, peer: str, team: str, wanted: int) -> None:
        """Ask a peer to return units.

        This runs in a thread of its own: the peer may ask this entry at the same time,
        and two actors that wait for each other would be blocked.
        """
        returned = self._services.membership.request_allowance_return(
            peer, team, RESOURCE, wanted
        )
        if isinstance(returned, Unavailable):
            log_event(
                logger,
                "allowance request failed",
                step=returned.step,
                peer=peer,
                reason=returned.reason.value,
            )
        elif returned > 0:
            self.actor_ref.tell(messages.Shortage(team, is_changed=True))

    def _return_for_peer(self, message: messages.ReturnForPeer) -> int:
        """Limit the own use for a peer that is short; return the units freed now."""
        snapshot = self._services.membership.snapshot()
        limit = _find_limit(snapshot, message.team)
        row_key = allowance_key(message.team, RESOURCE)
        rows = self._services.table.read([row_key])
        if limit is None or isinstance(rows, Unavailable) or row_key not in rows:
            return 0
        needs = self._list_needs().get(message.team)
        need = needs.need if needs else _NO_NEED
        amounts = rows[row_key].value["amount_by_holder"]
        member_id = snapshot.member_id
        before = amounts.get(member_id, 0)
        kept = fair_share(limit, amounts, member_id, need, message.wanted)
        if kept >= before:
            return 0
        # Units in use are returned by later ticks, when their requests have ended.
        until = self._services.clock.now() + CEILING_SECONDS
        ceiling = messages.SetCeiling(message.team, kept, until)
        self._ceiling_by_team[message.team] = ceiling
        self._dispatcher.tell(ceiling)
        after = self._balance(message.team)
        return max(0, before - after.get(member_id, 0)) if after else 0

    def _find_ceiling(self, team: str) -> int | None:
        ceiling = self._ceiling_by_team.get(team)
        if ceiling is None or self._services.clock.now() >= ceiling.until:
            return None
        return ceiling.amount

    def _return_all(self) -> None:
        member_id = self._services.membership.snapshot().member_id
        for team in self._list_needs():
            self._change_row(
                member_id, team, 0, lambda amounts: reclaim(amounts, [member_id])
            )

    def _list_needs(self) -> dict[str, messages.TeamNeed]:
        return self._dispatcher.ask(messages.ListNeeds())


def _find_limit(snapshot: MembershipSnapshot, team: str) -> int | None:
    if snapshot.environment is None or team not in snapshot.environment.team_by_name:
        return None
    return snapshot.environment.team_by_name[team].max_slots


def _build_write(row_key: RowKey, version: int, amounts: dict[str, int]) -> Transaction:
    value = {"amount_by_holder": amounts}
    return Transaction([Condition(row_key, version)], [Write(row_key, value)])
