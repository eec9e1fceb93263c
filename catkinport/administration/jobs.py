"""Routes that list, show and cancel jobs."""

from typing import Any

from ..ports import (
    Committed,
    Condition,
    Reason,
    Refused,
    Row,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Write,
)
from ..runtime import BadRequestError
from ..state import JobState, job_key, owner_key
from .calls import OperatorCall, OperatorRoutes, not_found, read_whole_number

MAX_LISTED = 500
# Bounds the table scans of one request when few jobs match its filter.
_MAX_PAGES = 10
_MAX_COMMIT_ATTEMPTS = 5
_ENDED_STATES = (JobState.DONE, JobState.FAILED, JobState.CANCELLED)
_LISTED_FIELDS = ("team", "account", "state", "attempt", "worker_vm", "reason")


def add_job_routes(routes: OperatorRoutes) -> None:
    """Add the routes below ``/v1/jobs``."""

    @routes.read("/v1/jobs")
    def list_jobs(call: OperatorCall) -> Any:
        query = call.request.query
        limit = read_whole_number(query, "limit")
        limit = 100 if limit is None else limit
        if not 1 <= limit <= MAX_LISTED:
            raise BadRequestError(f"limit must be from 1 to {MAX_LISTED}, got {limit}")
        prefix = f"{query['queue']}/" if "queue" in query else ""
        after_key = query.get("after", "")
        value_by_field = {
            name: query[name] for name in ("state", "team") if name in query
        }
        return _list_jobs(call.context.table, prefix, after_key, value_by_field, limit)

    @routes.read("/v1/jobs/{queue}/{job_id}")
    def show(call: OperatorCall, queue: str, job_id: str) -> Any:
        row = _read_row(call.context.table, job_key(queue, job_id))
        return {**_identify(row), **row.value} if isinstance(row, Row) else row

    @routes.change("POST", "/v1/jobs/{queue}/{job_id}/cancel")
    def cancel(call: OperatorCall, queue: str, job_id: str) -> Any:
        row = _request_cancel(call.context.table, job_key(queue, job_id))
        if not isinstance(row, Row):
            return row
        is_owner_notified = _notify_owner(call, queue, job_id)
        return {
            **_identify(row),
            "state": row.value["state"],
            "is_cancel_requested": row.value["is_cancel_requested"],
            "is_owner_notified": is_owner_notified,
        }


def _list_jobs(
    table: Table,
    prefix: str,
    after_key: str,
    value_by_field: dict[str, str],
    limit: int,
) -> Any:
    jobs: list[dict[str, Any]] = []
    for _ in range(_MAX_PAGES):
        page = table.scan("jobs", prefix, after_key, MAX_LISTED)
        if isinstance(page, Unavailable):
            return page
        for row in page.rows:
            if value_by_field.items() <= row.value.items():
                listed = {name: row.value[name] for name in _LISTED_FIELDS}
                jobs.append({**_identify(row), **listed})
            if len(jobs) == limit:
                return {"jobs": jobs, "next_after": row.row_key.key}
        if page.next_after_key is None:
            return {"jobs": jobs, "next_after": None}
        after_key = page.next_after_key
    return {"jobs": jobs, "next_after": after_key}


def _request_cancel(table: Table, row_key: RowKey) -> Row | Refused | Unavailable:
    """Set ``is_cancel_requested`` in the job's row; idempotent."""
    for _ in range(_MAX_COMMIT_ATTEMPTS):
        row = _read_row(table, row_key)
        if not isinstance(row, Row):
            return row
        if row.value["state"] in _ENDED_STATES or row.value["is_cancel_requested"]:
            return row
        changed = {**row.value, "is_cancel_requested": True}
        condition = Condition(row_key, row.version)
        outcome = table.commit(Transaction([condition], [Write(row_key, changed)]))
        if isinstance(outcome, Committed):
            return row._replace(value=changed)
        if isinstance(outcome, Unavailable):
            return outcome
    detail = "the job changed during each attempt; try again"
    return Refused(Reason.VERSION_DIFFERS, "job-cancel", detail=detail)


def _notify_owner(call: OperatorCall, queue: str, job_id: str) -> bool:
    """Notify the owner of the queue's pool and return whether it was reached.

    An owner that is not notified finds the request at its next scan for jobs.
    """
    found = call.environment.queue_by_name.get(queue)
    if found is None or not found.pool:
        return False
    rows = call.context.table.read([owner_key(found.pool)])
    if isinstance(rows, Unavailable) or not rows:
        return False
    member_id = rows[owner_key(found.pool)].value["member_id"]
    return call.context.membership.notify_queue(member_id, queue, job_id)


def _read_row(table: Table, row_key: RowKey) -> Row | Refused | Unavailable:
    rows = table.read([row_key])
    if isinstance(rows, Unavailable):
        return rows
    return rows.get(row_key) or not_found("job-show", f"job {row_key.key}")


def _identify(row: Row) -> dict[str, Any]:
    queue, _, job_id = row.row_key.key.partition("/")
    return {"queue": queue, "job_id": job_id}
