"""Claims, which let at most one attempt of a non-idempotent request run.

A claim is a row under the caller's idempotency key. An attempt inserts it before the
request is sent, and records the outcome in it afterwards.
"""

import hashlib
import time
import uuid
from collections import deque
from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any, NamedTuple

import pykka

from ..ports import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    Condition,
    NotRun,
    ObjectStore,
    Reason,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)
from ..state import ClaimRow, ClaimState, claim_key
from .messages import CommitClaim, RetryOnTick, Tick
from .services import EntryServices

COMMIT_TIMEOUT_SECONDS = 10.0
N_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 1.0
# These bound the memory of answers that wait for the store, and the work of one tick.
# When there are more, the oldest is dropped: its claim stays "claimed", and a retry by
# the caller is answered with "unknown".
MAX_PENDING_RETRIES = 100
MAX_RETRIES_PER_TICK = 20


class Claim(NamedTuple):
    """The right to run a request once; ``version`` is that of its row."""

    row_key: RowKey
    version: int
    row: ClaimRow


class StoredAnswer(NamedTuple):
    """The stored answer of an earlier attempt with the same idempotency key."""

    status: int
    content_type: str
    content: bytes


ClaimOutcome = Claim | StoredAnswer | NotRun | Unknown


class ClaimWriter(pykka.ThreadingActor):
    """Commits transactions that arrive within a few milliseconds in one call.

    Args:
        table: client of the table service.
        batch_seconds: how long a batch is collected. The wait applies only if the
            previous batch had several transactions, so that a single transaction
            is not delayed.
    """

    def __init__(self, table: Table, batch_seconds: float) -> None:
        super().__init__()
        self._table = table
        self._batch_seconds = batch_seconds
        self._pending: list[CommitClaim] = []
        self._retries: deque[RetryOnTick] = deque(maxlen=MAX_PENDING_RETRIES)
        self._last_batch_size = 0

    def on_receive(self, message: Any) -> None:
        """Collect a transaction or a retry; ``None`` commits the collected batch."""
        if message is None:
            return self._flush()
        if isinstance(message, RetryOnTick):
            return self._retries.append(message)
        if isinstance(message, Tick):
            return self._run_retries()
        self._pending.append(message)
        if len(self._pending) == 1:
            if self._last_batch_size > 1:
                time.sleep(self._batch_seconds)
            # Messages are handled in order, so the batch has all that arrived before.
            self.actor_ref.tell(None)
        return None

    def _run_retries(self) -> None:
        for _ in range(min(MAX_RETRIES_PER_TICK, len(self._retries))):
            if not self._retries[0].operation():
                return
            self._retries.popleft()

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        self._last_batch_size = len(pending)
        try:
            outcomes = self._table.commit_batch([m.transaction for m in pending])
        except Exception as error:
            for message in pending:
                message.future.set_exception(error)
            return
        for message, outcome in zip(pending, outcomes, strict=True):
            message.future.set_result(outcome)


class Claims:
    """Takes a claim before its request is sent and records the outcome in it.

    Args:
        services: ports and shared objects.
        writer: the ``ClaimWriter``.
    """

    def __init__(self, services: EntryServices, writer: Any) -> None:
        self._services = services
        self._writer = writer

    def take(self, team: str, idempotency_key: str, digest: str) -> ClaimOutcome:
        """Take the claim, or return the outcome of the attempt that holds it.

        Args:
            team: team of the request.
            idempotency_key: key that the caller chose.
            digest: digest of the request.
        """
        member_id = self._services.membership.snapshot().member_id
        row = ClaimRow(
            token=uuid.uuid4().hex,
            member_id=member_id,
            digest=digest,
            state=ClaimState.CLAIMED,
            status=0,
            answer_reference="",
            content_type="",
            claimed_at=self._services.unix_time(),
        )
        row_key = claim_key(team, idempotency_key)
        version = ABSENT_VERSION
        is_undecided = False
        for _ in range(N_ATTEMPTS):
            outcome = self._commit(row_key, version, row)
            if isinstance(outcome, Committed):
                return Claim(row_key, outcome.versions_by_row_key[row_key], row)
            if isinstance(outcome, Unavailable):
                is_undecided |= outcome.may_have_committed
                if not outcome.may_have_committed:
                    if is_undecided:
                        self._release_later(row_key, row)
                    return _refuse_without_store(outcome)
            found = self._read_back(row_key, row)
            if not isinstance(found, int):
                return found
            version = found
        self._release_later(row_key, row)
        return NotRun(Reason.STORE_UNAVAILABLE, "claim", "", "", RETRY_AFTER_SECONDS)

    def finish(self, claim: Claim, status: int, content_type: str, content: bytes):
        """Store the answer, so that a retry by the caller gets it again."""
        reference = f"answers/{claim.row_key.key}/{claim.row['token']}"
        row = {
            **claim.row,
            "state": ClaimState.DONE,
            "status": status,
            "answer_reference": reference,
            "content_type": content_type,
        }

        def store() -> bool:
            if self._services.objects.put(reference, content) is not None:
                return False
            return self._write(claim, row)

        if self._services.objects.put(reference, content) is not None:
            self._writer.tell(RetryOnTick(store))
            return
        self._record_outcome(claim, row)

    def finish_without_answer(self, claim: Claim, status: int) -> None:
        """Record that the request ran, with an answer too large to be stored."""
        self._record_outcome(
            claim, {**claim.row, "state": ClaimState.DONE, "status": status}
        )

    def abandon(self, claim: Claim, is_run_possible: bool) -> None:
        """Record that there is no answer.

        Args:
            claim: the claim.
            is_run_possible: whether the request may have run. If not, the same key
                may be claimed again.
        """
        state = ClaimState.UNKNOWN if is_run_possible else ClaimState.NOT_RUN
        self._record_outcome(claim, {**claim.row, "state": state})

    def _record_outcome(self, claim: Claim, row: Mapping[str, Any]) -> None:
        outcome = self._commit(claim.row_key, claim.version, row)
        if isinstance(outcome, Unavailable):
            self._writer.tell(RetryOnTick(lambda: self._write(claim, row)))

    def _write(self, claim: Claim, row: Mapping[str, Any]) -> bool:
        """Write the row; return ``False`` if it has to be written again later.

        A conflict is final: another member has recorded an outcome in the claim.
        """
        transaction = _conditional_write(claim.row_key, claim.version, row)
        outcome = self._services.table.commit(transaction)
        return not isinstance(outcome, Unavailable)

    def _release_later(self, row_key: RowKey, row: ClaimRow) -> None:
        """Release a claim that may be stored, now or later, and is not used."""
        self._writer.tell(RetryOnTick(lambda: self._release_unconfirmed(row_key, row)))

    def _release_unconfirmed(self, row_key: RowKey, row: ClaimRow) -> bool:
        """Mark a claim without confirmation as not run; return whether that is done.

        No request is sent under its token. A key that nobody has claimed is marked too:
        the store may carry the claim out later, but not over a newer version.
        """
        rows = self._services.table.read([row_key])
        if isinstance(rows, Unavailable):
            return False
        found = rows.get(row_key)
        if found is not None and _is_of_other_attempt(found.value, row):
            return True
        version = found.version if found is not None else ABSENT_VERSION
        not_run = {**row, "state": ClaimState.NOT_RUN}
        transaction = _conditional_write(row_key, version, not_run)
        return isinstance(self._services.table.commit(transaction), Committed)

    def _commit(
        self, row_key: RowKey, version: int, row: Mapping[str, Any]
    ) -> CommitOutcome:
        future: Future[CommitOutcome] = Future()
        transaction = _conditional_write(row_key, version, row)
        self._writer.tell(CommitClaim(transaction, future))
        return future.result(COMMIT_TIMEOUT_SECONDS)

    def _read_back(self, row_key: RowKey, row: ClaimRow) -> ClaimOutcome | int:
        """Return an outcome, or the row version for the next attempt to commit."""
        rows = self._services.table.read([row_key])
        if isinstance(rows, Unavailable):
            self._release_later(row_key, row)
            return _refuse_without_store(rows)
        found = rows.get(row_key)
        if found is None:
            return ABSENT_VERSION
        if found.value["token"] == row["token"]:
            return Claim(row_key, found.version, row)
        if found.value["digest"] != row["digest"]:
            return NotRun(
                Reason.DIGEST_DIFFERS,
                "claim",
                detail="Idempotency-Key was used for another request",
            )
        if found.value["state"] == ClaimState.NOT_RUN:
            return found.version
        return self._resolve_existing(row_key, found.version, found.value)

    def _resolve_existing(
        self, row_key: RowKey, version: int, row: Any
    ) -> ClaimOutcome:
        state = row["state"]
        if state == ClaimState.DONE:
            return _load_answer(self._services.objects, row)
        if state == ClaimState.CLAIMED and self._has_left(row["member_id"]):
            unknown = {**row, "state": ClaimState.UNKNOWN}
            self._commit(row_key, version, unknown)
            state = ClaimState.UNKNOWN
        detail = "still running" if state == ClaimState.CLAIMED else "outcome not known"
        return Unknown(Reason.CLAIMED_ELSEWHERE, "claim", row["member_id"], detail)

    def _has_left(self, member_id: str) -> bool:
        snapshot = self._services.membership.snapshot()
        record = snapshot.member_by_id.get(member_id)
        # Without a valid lease, the roster may be too old to contain the member.
        if not snapshot.is_fresh(self._services.clock.now()):
            return False
        return record is None or record.is_evicted


def request_digest(method: str, path: str, length: int | None, body: bytes) -> str:
    """Return the digest that tells whether two requests are the same.

    Args:
        method: HTTP method.
        path: path and query string.
        length: length of the whole body, ``None`` if it is not known.
        body: the body, or its first 1 MB.
    """
    head = f"{method} {path} {length}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def _is_of_other_attempt(found: Mapping[str, Any], row: ClaimRow) -> bool:
    is_own = found["token"] == row["token"]
    return not is_own and found["state"] != ClaimState.NOT_RUN


def _conditional_write(
    row_key: RowKey, version: int, row: Mapping[str, Any]
) -> Transaction:
    return Transaction([Condition(row_key, version)], [Write(row_key, dict(row))])


def _load_answer(objects: ObjectStore, row: Any) -> StoredAnswer | Unknown:
    if not row["answer_reference"]:
        detail = "it ran, but its answer was too large to be kept"
        return Unknown(Reason.NOT_FOUND, "claim", row["member_id"], detail)
    content = objects.get(row["answer_reference"])
    if content is None or isinstance(content, Unavailable):
        detail = "it ran, but its answer cannot be read now"
        return Unknown(Reason.STORE_UNAVAILABLE, "claim", "", detail)
    return StoredAnswer(row["status"], row["content_type"], content)


def _refuse_without_store(outcome: Unavailable) -> NotRun:
    return NotRun(
        Reason.STORE_UNAVAILABLE,
        "claim",
        outcome.peer,
        outcome.detail,
        RETRY_AFTER_SECONDS,
    )
