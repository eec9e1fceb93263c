"""Division of each team's upper limit on processors between the pools.

A row for each team, its allowance row, names the cores that each pool holds. Their sum
stays within the limit, because a pool takes cores only by a write that depends on the
row's version.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ..ports import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Row,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Write,
)
from ..state import JobState, allowance_key
from .pool_state import PoolState
from .services import Services

RESOURCE = "cores"
IDLE_SECONDS = 5.0


class Allowance(NamedTuple):
    """Row with the cores of one team's limit that each pool holds, as it was read.

    Args:
        team: the team.
        row_key: key of the row.
        version: version of the row.
        amount_by_holder: cores by pool.
        limit: upper limit of the team, in cores.
    """

    team: str
    row_key: RowKey
    version: int
    amount_by_holder: Mapping[str, int]
    limit: int

    def held(self, pool: str) -> int:
        """Return the cores that ``pool`` holds."""
        return self.amount_by_holder.get(pool, 0)

    def available(self, pool: str) -> int:
        """Return the cores that ``pool`` may hold: its own and the free ones.

        After the limit was lowered, the pools may hold more than the limit for a while;
        ``pool`` may then hold less than it does, or nothing.
        """
        others = sum(self.amount_by_holder.values()) - self.held(pool)
        return max(0, self.limit - others)

    def with_amount(self, pool: str, amount: int) -> dict[str, dict[str, int]]:
        """Return the row's value with ``amount`` held by ``pool``."""
        amounts = {**self.amount_by_holder, pool: amount}
        return {"amount_by_holder": {name: n for name, n in amounts.items() if n > 0}}


class AllowanceManager:
    """Reads the allowances of one pool, takes cores and returns idle ones.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
    """

    def __init__(self, services: Services, state: PoolState) -> None:
        self._table: Table = services.table
        self._clock = services.clock
        self._state = state
        self._idle_since_by_team: dict[str, float] = {}
        self._next_check_at = 0.0
        # Teams in whose rows the pool may hold cores; ``None`` until all were read.
        self._holding_teams: set[str] | None = None
        # Version of the row on which the latest return without an answer depends. It
        # may still be carried out while the row has this version.
        self._undecided_version_by_team: dict[str, int] = {}

    def read(self, teams: Collection[str]) -> dict[str, Allowance] | Unavailable:
        """Read the allowance rows of those ``teams`` that are in the configuration."""
        team_by_name = self._state.environment.team_by_name
        known = [name for name in sorted(teams) if name in team_by_name]
        rows = self._table.read([allowance_key(name, RESOURCE) for name in known])
        if isinstance(rows, Unavailable):
            return rows
        allowance_by_team = {
            name: _to_allowance(rows, name, team_by_name[name].max_cores)
            for name in known
        }
        for name, allowance in allowance_by_team.items():
            if self._holding_teams is not None and allowance.held(self._state.pool):
                self._holding_teams.add(name)
        return allowance_by_team

    def used_cores(self) -> dict[str, float]:
        """Return the declared cores of running jobs by team.

        The limit applies to declared sizes and not to estimates, because workers grant
        the declared size.
        """
        used: dict[str, float] = {}
        for job in self._state.job_cache.list_jobs(JobState.RUNNING):
            used[job.row["team"]] = used.get(job.row["team"], 0.0) + job.row["n_cores"]
        return used

    def reserve(
        self, allowance: Allowance, needed: float
    ) -> tuple[list[Condition], list[Write]] | None:
        """Return conditions and writes by which the pool holds ``needed`` cores.

        Both are empty if it holds them already and no return of cores may still be
        carried out. ``None`` means that the limit does not allow it.
        """
        pool = self._state.pool
        if math.ceil(needed) > allowance.available(pool):
            return None
        amount = max(math.ceil(needed), allowance.held(pool))
        undecided_version = self._undecided_version_by_team.get(allowance.team)
        is_undecided = undecided_version == allowance.version
        if amount == allowance.held(pool) and not is_undecided:
            return [], []
        if self._holding_teams is not None:
            self._holding_teams.add(allowance.team)
        value = allowance.with_amount(pool, amount)
        condition = Condition(allowance.row_key, allowance.version)
        return [condition], [Write(allowance.row_key, value)]

    def return_idle(self, idle_seconds: float = IDLE_SECONDS) -> None:
        """Return the cores that no running job has used for ``idle_seconds``."""
        now = self._clock.now()
        if now < self._next_check_at:
            return
        self._next_check_at = now + idle_seconds / 5
        allowances = self._read_holding()
        if isinstance(allowances, Unavailable):
            return
        used = self.used_cores()
        for team, allowance in allowances.items():
            amount = math.ceil(used.get(team, 0.0))
            if self._holding_teams and not allowance.held(self._state.pool):
                self._holding_teams.discard(team)
            if amount >= allowance.held(self._state.pool):
                self._idle_since_by_team.pop(team, None)
                continue
            since = self._idle_since_by_team.setdefault(team, now)
            if now - since >= idle_seconds and self._commit_amount(allowance, amount):
                self._idle_since_by_team.pop(team, None)

    def _read_holding(self) -> dict[str, Allowance] | Unavailable:
        """Read the rows in which the pool may hold cores."""
        if self._holding_teams is not None:
            return self.read(self._holding_teams)
        allowances = self.read(self._state.environment.team_by_name)
        if not isinstance(allowances, Unavailable):
            pool = self._state.pool
            self._holding_teams = {t for t, a in allowances.items() if a.held(pool)}
        return allowances

    def _commit_amount(self, allowance: Allowance, amount: int) -> bool:
        value = allowance.with_amount(self._state.pool, amount)
        conditions = [
            self._state.fence.condition,
            Condition(allowance.row_key, allowance.version),
        ]
        writes = [Write(allowance.row_key, value)]
        outcome = self._table.commit(Transaction(conditions, writes))
        if isinstance(outcome, Unavailable) and outcome.may_have_committed:
            self._undecided_version_by_team[allowance.team] = allowance.version
        return isinstance(outcome, Committed)


def _to_allowance(rows: Mapping[RowKey, Row], team: str, limit: int) -> Allowance:
    key = allowance_key(team, RESOURCE)
    row = rows.get(key)
    if row is None:
        return Allowance(team, key, ABSENT_VERSION, {}, limit)
    return Allowance(team, key, row.version, row.value["amount_by_holder"], limit)
