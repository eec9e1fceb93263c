"""Submits, shows and cancels jobs for callers."""

import hashlib
import logging
import uuid
from concurrent.futures import ThreadPoolExecutor

from ..ports import (
    ABSENT_VERSION,
    Committed,
    Condition,
    NotRun,
    Reason,
    Refused,
    Row,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)
from ..runtime import HttpAnswer, HttpRequest, json_answer, log_event
from ..state import JobRow, JobState, early_cancel_key, job_key, owner_key
from .answers import not_run_answer, outcome_headers, unknown_answer
from .callers import AuthorizedRequest, authorize, reauthorize
from .early_cancels import EarlyCancels, JobStored, Prevented
from .job_requests import (
    MAX_INLINE_INPUT_CHARACTERS,
    build_job,
    choose_job_id,
    is_same_request,
)
from .services import EntryServices

logger = logging.getLogger(__name__)

N_ATTEMPTS = 4
# A failed notice is retried, because an urgent job must start within 2.4 s and the
# owner of its pool scans the queues only once a minute. A new owner needs no notice: it
# reads all queues when it takes over.
MAX_NOTICE_ATTEMPTS = 3
NOTICE_RETRY_SECONDS = 0.4
ENDED_STATES = (
    JobState.DONE,
    JobState.FAILED,
    JobState.CANCELLED,
    JobState.PARKED,
    JobState.UNKNOWN,
)
SHOWN_FIELDS = (
    "team",
    "command",
    "state",
    "attempt",
    "reason",
    "is_cancel_requested",
    "n_moves",
    "submitted_at",
    "started_at",
    "finished_at",
)


class JobHandler:
    """Handles callers' requests to submit, show and cancel jobs.

    Args:
        services: ports and shared objects.
    """

    def __init__(self, services: EntryServices) -> None:
        self._services = services
        self._notifier = ThreadPoolExecutor(2, thread_name_prefix="job-notice")
        self._early_cancels = EarlyCancels(services)
        self.is_stopping = False

    def stop(self) -> None:
        """Stop sending notices; the owners find jobs without a notice by their scan."""
        self._notifier.shutdown(wait=False, cancel_futures=True)

    def submit(self, request: HttpRequest, queue: str) -> HttpAnswer:
        """Store a job, and answer 202 once it is stored."""
        request_id = uuid.uuid4().hex
        outcome = self._submit(request, queue)
        if isinstance(outcome, str):
            log_event(
                logger,
                "job submitted",
                request_id=request_id,
                step="submit",
                peer="",
                job_id=outcome,
                queue=queue,
            )
            value = {"job_id": outcome, "queue": queue, "state": JobState.QUEUED}
            headers = outcome_headers("answered", "", request_id)
            return json_answer(202, value, headers)
        return _failure_answer(outcome, request_id)

    def show(self, request: HttpRequest, queue: str, job_id: str) -> HttpAnswer:
        """Return the state of a job."""
        request_id = uuid.uuid4().hex
        row = self._find_row(request, queue, job_id)
        if not isinstance(row, Row):
            return _failure_answer(row, request_id)
        shown = {name: row.value[name] for name in SHOWN_FIELDS}
        value = {"job_id": job_id, "queue": queue, **shown}
        return json_answer(200, value, outcome_headers("answered", "", request_id))

    def show_result(self, request: HttpRequest, queue: str, job_id: str) -> HttpAnswer:
        """Return the result of a job that is done."""
        request_id = uuid.uuid4().hex
        row = self._find_row(request, queue, job_id)
        if not isinstance(row, Row):
            return _failure_answer(row, request_id)
        if row.value["state"] != JobState.DONE:
            detail = f"the job is {row.value['state']}, not done"
            refusal = Refused(Reason.NOT_FOUND, "result", detail=detail)
            return _failure_answer(refusal, request_id)
        content = self._services.objects.get(row.value["result_reference"])
        if isinstance(content, Unavailable):
            return _failure_answer(content, request_id)
        if content is None:
            refusal = Refused(Reason.NOT_FOUND, "result", detail="no result is stored")
            return _failure_answer(refusal, request_id)
        headers = outcome_headers("answered", "", request_id)
        return HttpAnswer(
            200, content, {"Content-Type": "application/octet-stream", **headers}
        )

    def cancel(self, request: HttpRequest, queue: str, job_id: str) -> HttpAnswer:
        """Record a request to cancel a job; the owner of its pool carries it out."""
        request_id = uuid.uuid4().hex
        outcome = self._cancel(request, queue, job_id)
        if not isinstance(outcome, dict):
            return _failure_answer(outcome, request_id)
        headers = outcome_headers("answered", "", request_id)
        return json_answer(202, outcome, headers)

    def _submit(self, request: HttpRequest, queue: str):
        authorized = self._authorize(request, queue)
        if isinstance(authorized, Refused):
            return authorized
        if not authorized.queue.pool:
            detail = f"queue {queue!r} accepts only requests, got a job"
            return Refused(Reason.REQUEST_INVALID, "submit", detail=detail)
        job = build_job(request.read_json(), authorized, self._services.unix_time())
        if isinstance(job, Refused):
            return job
        key = request.headers.get("idempotency-key", "")
        job_id = choose_job_id(authorized.team.name, key)
        failure = self._store_input(job, queue, job_id)
        if failure is not None:
            return failure
        snapshot = self._services.membership.snapshot()
        refusal = reauthorize(authorized, snapshot, self._services.clock)
        if refusal is not None:
            return refusal
        outcome = self._insert_row(job, queue, job_id)
        if outcome is None:
            self._schedule_notice(authorized.queue.pool, queue, job_id)
            return job_id
        return outcome

    def _insert_row(self, job: JobRow, queue: str, job_id: str):
        """Write the row, and read it back after a lost answer.

        Returns:
            ``None`` when the row is stored, otherwise the failure.
        """
        row_key = job_key(queue, job_id)
        canceled_key = early_cancel_key(queue, job_id, job["team"])
        insert = Transaction(
            [
                Condition(row_key, ABSENT_VERSION),
                Condition(canceled_key, ABSENT_VERSION),
            ],
            [Write(row_key, dict(job))],
        )
        may_be_written = False
        for _ in range(N_ATTEMPTS):
            outcome = self._services.table.commit(insert)
            if isinstance(outcome, Committed):
                return None
            if isinstance(outcome, Unavailable):
                may_be_written |= outcome.may_have_committed
                continue
            rows = self._services.table.read([row_key, canceled_key])
            if isinstance(rows, Unavailable):
                may_be_written = True
                continue
            if row_key not in rows and canceled_key in rows:
                detail = "the job was canceled before it was stored"
                return Refused(Reason.CANCELED, "submit", detail=detail)
            if row_key in rows:
                if is_same_request(rows[row_key].value, job):
                    return None
                detail = "Idempotency-Key was used for another job"
                return Refused(Reason.DIGEST_DIFFERS, "submit", detail=detail)
        if may_be_written:
            return Unknown(Reason.STORE_UNAVAILABLE, "submit", detail=job_id)
        return NotRun(Reason.STORE_UNAVAILABLE, "submit", "", "", 1.0)

    def _store_input(self, job: JobRow, queue: str, job_id: str) -> NotRun | None:
        """Move an input over 32 KB to the object store before the row refers to it.

        The object is named by its content, so that neither a repeated write nor one
        that is carried out late replaces the input of another submission.
        """
        text = job["input"]
        if len(text) <= MAX_INLINE_INPUT_CHARACTERS:
            return None
        content = text.encode()
        digest = hashlib.sha256(content).hexdigest()
        reference = f"inputs/{queue}/{job_id}/{digest}"
        outcome = self._services.objects.put(reference, content)
        if isinstance(outcome, Unavailable):
            return _refuse_without_store(outcome)
        job["input"] = ""
        job["input_reference"] = reference
        return None

    def _cancel(self, request: HttpRequest, queue: str, job_id: str):
        for _ in range(N_ATTEMPTS):
            row = self._find_row(request, queue, job_id)
            if row == _NO_SUCH_JOB:
                outcome = self._prevent(request, queue, job_id)
                if isinstance(outcome, JobStored):
                    continue
                return outcome
            if not isinstance(row, Row):
                return row
            is_ended = row.value["state"] in ENDED_STATES
            if is_ended or row.value["is_cancel_requested"]:
                return {"job_id": job_id, "state": row.value["state"]}
            changed = {**row.value, "is_cancel_requested": True}
            change = Transaction(
                [Condition(row.row_key, row.version)], [Write(row.row_key, changed)]
            )
            outcome = self._services.table.commit(change)
            if isinstance(outcome, Committed):
                snapshot = self._services.membership.snapshot()
                pool = snapshot.environment.queue_by_name[queue].pool
                self._schedule_notice(pool, queue, job_id)
                return {"job_id": job_id, "state": row.value["state"]}
        detail = "the job changed or the store did not answer"
        return Unknown(Reason.STORE_UNAVAILABLE, "cancel", detail=detail)

    def _prevent(
        self, request: HttpRequest, queue: str, job_id: str
    ) -> JobStored | NotRun | Refused | Unknown:
        """Store the cancellation of a job that the caller's team can't see.

        A write of the job may be under way, of which its caller knows nothing.
        """
        authorized = self._authorize(request, queue)
        if isinstance(authorized, Refused):
            return authorized
        outcome = self._early_cancels.store(queue, job_id, authorized.team.name)
        return _NO_SUCH_JOB if isinstance(outcome, Prevented) else outcome

    def _find_row(self, request: HttpRequest, queue: str, job_id: str):
        authorized = self._authorize(request, queue)
        if isinstance(authorized, Refused):
            return authorized
        row_key = job_key(queue, job_id)
        rows = self._services.table.read([row_key])
        if isinstance(rows, Unavailable):
            return rows
        row = rows.get(row_key)
        # The same answer for another team's job keeps its existence secret.
        if row is None or row.value["team"] != authorized.team.name:
            return _NO_SUCH_JOB
        return row

    def _authorize(
        self, request: HttpRequest, queue: str
    ) -> AuthorizedRequest | Refused:
        if self.is_stopping:
            return Refused(Reason.STOPPING, "admission")
        return authorize(
            self._services.membership.snapshot(),
            self._services.clock,
            queue,
            request.headers.get("authorization"),
        )

    def _schedule_notice(self, pool: str, queue: str, job_id: str) -> None:
        try:
            self._notifier.submit(self._send_notice_with_retries, pool, queue, job_id)
        except RuntimeError:
            log_event(logger, "job notice skipped", step="notify", job_id=job_id)

    def _send_notice_with_retries(self, pool: str, queue: str, job_id: str) -> None:
        """Notify the pool's owner; if all attempts fail, its scan finds the job."""
        for attempt in range(MAX_NOTICE_ATTEMPTS):
            if attempt > 0:
                self._services.clock.sleep(NOTICE_RETRY_SECONDS)
            if self._send_notice(pool, queue, job_id):
                return

    def _send_notice(self, pool: str, queue: str, job_id: str) -> bool:
        row_key = owner_key(pool)
        rows = self._services.table.read([row_key])
        if isinstance(rows, Unavailable) or row_key not in rows:
            return False
        owner = rows[row_key].value["member_id"]
        is_accepted = self._services.membership.notify_queue(owner, queue, job_id)
        log_event(
            logger,
            "job notice sent",
            logging.DEBUG,
            step="notify",
            peer=owner,
            job_id=job_id,
            is_accepted=is_accepted,
        )
        return is_accepted


_NO_SUCH_JOB = Refused(Reason.NOT_FOUND, "find-job", detail="there is no such job")


def _failure_answer(
    outcome: NotRun | Refused | Unknown | Unavailable, request_id: str
) -> HttpAnswer:
    if isinstance(outcome, Unavailable):
        outcome = _refuse_without_store(outcome)
    if isinstance(outcome, Unknown):
        return unknown_answer(outcome, request_id)
    return not_run_answer(outcome, request_id)


def _refuse_without_store(outcome: Unavailable) -> NotRun:
    return NotRun(
        Reason.STORE_UNAVAILABLE, outcome.step, outcome.peer, outcome.detail, 1.0
    )
