"""Checks whether sections that a new document removes are still in use.

A VM of a removed pool would have no availability budget and no owner, and a job of a
removed queue or team would wait forever.
"""

from collections.abc import Iterator, Sequence

from ..ports import Row, Table, Unavailable, scan_all
from ..settings.environment import Environment
from ..state import JobState, allowance_key, pool_key

_UNFINISHED_STATES = (JobState.QUEUED, JobState.RUNNING)
_RESOURCES = ("slots", "cores")


def find_obstacles(
    table: Table, old: Environment, new: Environment
) -> list[str] | Unavailable:
    """Return a text for each removed pool, queue or team that is still in use.

    Use that begins after this check and before the document is accepted is not
    detected.

    Args:
        table: client of the table service.
        old: the configuration in force.
        new: the proposed configuration.
    """
    pools = sorted(old.pool_by_name.keys() - new.pool_by_name.keys())
    queues = sorted(old.queue_by_name.keys() - new.queue_by_name.keys())
    teams = sorted(old.team_by_name.keys() - new.team_by_name.keys())
    if not pools and not queues and not teams:
        return []
    row_keys = [pool_key(pool) for pool in pools]
    row_keys += [allowance_key(team, name) for team in teams for name in _RESOURCES]
    rows = table.read(row_keys)
    if isinstance(rows, Unavailable):
        return rows
    jobs = scan_all(table, "jobs") if queues or teams else []
    if isinstance(jobs, Unavailable):
        return jobs
    return [
        *_find_pools_with_vms([rows[key] for key in row_keys if key in rows]),
        *_find_held_allowances([rows[key] for key in row_keys if key in rows]),
        *_find_unfinished_jobs(jobs, queues, teams),
    ]


def _find_pools_with_vms(rows: Sequence[Row]) -> Iterator[str]:
    for row in rows:
        if row.row_key.table != "pools":
            continue
        value = row.value
        n_vms = len(value["serving_vm_by_id"]) + len(value["reason_by_disrupted_vm"])
        if n_vms:
            yield f"pool {row.row_key.key} has {n_vms} VMs; move them to another pool"


def _find_held_allowances(rows: Sequence[Row]) -> Iterator[str]:
    for row in rows:
        if row.row_key.table != "allowances":
            continue
        team, _, resource = row.row_key.key.rpartition("/")
        held = sum(row.value["amount_by_holder"].values())
        if held:
            yield (
                f"team {team} holds {held} {resource}; set its upper limits to 0 and"
                " wait until its work has ended"
            )


def _find_unfinished_jobs(
    rows: Sequence[Row], queues: Sequence[str], teams: Sequence[str]
) -> Iterator[str]:
    unfinished = [row for row in rows if row.value["state"] in _UNFINISHED_STATES]
    for queue in queues:
        count = sum(row.row_key.key.startswith(f"{queue}/") for row in unfinished)
        if count:
            yield f"queue {queue} has {count} unfinished jobs; cancel them or wait"
    for team in teams:
        count = sum(row.value["team"] == team for row in unfinished)
        if count:
            yield f"team {team} has {count} unfinished jobs; cancel them or wait"
