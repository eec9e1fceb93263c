"""Claims, which let one attempt of a non-idempotent request run."""

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
from .messages import CommitClaim, Later, Tick
from .services import EntryServices

COMMIT_SECONDS = 10.0
N_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 1.0
# Bounds the memory for answers that wait for the store, and the work of one tick. A
# claim that is dropped stays "claimed", so it only makes a retry answer "unknown".
MAX_LATER = 100
MAX_LATER_PER_TICK = 20


class Claim(NamedTuple):
    """The right to run a request once; ``version`` is that of its row."""

    row_key: RowKey
    version: int
    row: ClaimRow


class StoredAnswer(NamedTuple):
    """The answer of an earlier attempt with the same key."""

    status: int
    content_type: str
    content: bytes


ClaimOutcome = Claim | StoredAnswer | NotRun | Unknown


class ClaimWriter(pykka.ThreadingActor):
    """Commits transactions that arrive within a few milliseconds in one call.

    Args:
        table: client of the table service.
        batch_seconds: how long the first transaction waits for others. A lone
            transaction does not wait: the wait applies after a batch of several.
    """

    def __init__(self, table: Table, batch_seconds: float) -> None:
        super().__init__()
        self._table = table
        self._batch_seconds = batch_seconds
        self._pending: list[CommitClaim] = []
        self._later: deque[Later] = deque(maxlen=MAX_LATER)
        self._last_size = 0

    def on_receive(self, message: Any) -> None:
        """Collect a transaction, or commit those collected on ``None``."""
        if message is None:
            return self._flush()
        if isinstance(message, Later):
            return self._later.append(message)
        if isinstance(message, Tick):
            return self._try_later()
        self._pending.append(message)
        if len(self._pending) == 1:
            if self._last_size > 1:
                time.sleep(self._batch_seconds)
            # Handled after everything that arrived in the meantime.
            self.actor_ref.tell(None)
        return None

    def _try_later(self) -> None:
        for _ in range(min(MAX_LATER_PER_TICK, len(self._later))):
            if not self._later[0].operation():
                return
            self._later.popleft()

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        self._last_size = len(pending)
        try:
            outcomes = self._table.commit_batch([m.transaction for m in pending])
        except Exception as error:
            for message in pending:
                message.future.set_exception(error)
            return
        for message, outcome in zip(pending, outcomes, strict=True):
            message.future.set_result(outcome)


class Claims:
    """Takes claims before dispatch and settles them afterwards.

    Args:
        services: ports and shared objects.
        writer: the ``ClaimWriter``.
    """

    def __init__(self, services: EntryServices, writer: Any) -> None:
        self._services = services
        self._writer = writer

    def take(self, team: str, idempotency_key: str, digest: str) -> ClaimOutcome:
        """Take the claim, or say what became of the attempt that has it.

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
        for _ in range(N_ATTEMPTS):
            outcome = self._commit(row_key, version, row)
            if isinstance(outcome, Committed):
                return Claim(row_key, outcome.versions_by_row_key[row_key], row)
            if isinstance(outcome, Unavailable) and not outcome.may_have_committed:
                return _refuse_without_store(outcome)
            found = self._read_back(row_key, row)
            if not isinstance(found, int):
                return found
            version = found
        # Nobody dispatches under this token any more, even if the row appears late.
        self._writer.tell(Later(lambda: self._give_up(row_key, row)))
        return NotRun(Reason.STORE_UNAVAILABLE, "claim", "", "", RETRY_AFTER_SECONDS)

    def finish(self, claim: Claim, status: int, content_type: str, content: bytes):
        """Store the answer, so that a retry gets it again."""
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
            self._writer.tell(Later(store))
            return
        self._settle(claim, row)

    def finish_unkept(self, claim: Claim, status: int) -> None:
        """Note that the request ran, with an answer too large to be kept."""
        self._settle(claim, {**claim.row, "state": ClaimState.DONE, "status": status})

    def abandon(self, claim: Claim, is_run_possible: bool) -> None:
        """Note that there is no answer.

        Args:
            claim: the claim.
            is_run_possible: whether the request may have run. If not, the same key
                may be claimed again.
        """
        state = ClaimState.UNKNOWN if is_run_possible else ClaimState.NOT_RUN
        self._settle(claim, {**claim.row, "state": state})

    def _settle(self, claim: Claim, row: Mapping[str, Any]) -> None:
        outcome = self._commit(claim.row_key, claim.version, row)
        if isinstance(outcome, Unavailable):
            self._writer.tell(Later(lambda: self._write(claim, row)))

    def _write(self, claim: Claim, row: Mapping[str, Any]) -> bool:
        """Write the row; a conflict means that another member settled the claim."""
        transaction = _conditional_write(claim.row_key, claim.version, row)
        outcome = self._services.table.commit(transaction)
        return not isinstance(outcome, Unavailable)

    def _give_up(self, row_key: RowKey, row: ClaimRow) -> bool:
        """Let others claim what this attempt claimed without learning of it."""
        rows = self._services.table.read([row_key])
        if isinstance(rows, Unavailable):
            return False
        found = rows.get(row_key)
        if found is None or found.value["token"] != row["token"]:
            return True
        not_run = {**row, "state": ClaimState.NOT_RUN}
        return self._write(Claim(row_key, found.version, row), not_run)

    def _commit(
        self, row_key: RowKey, version: int, row: Mapping[str, Any]
    ) -> CommitOutcome:
        future: Future[CommitOutcome] = Future()
        transaction = _conditional_write(row_key, version, row)
        self._writer.tell(CommitClaim(transaction, future))
        return future.result(COMMIT_SECONDS)

    def _read_back(self, row_key: RowKey, row: ClaimRow) -> ClaimOutcome | int:
        """Return an outcome, or the version on which to try again."""
        rows = self._services.table.read([row_key])
        if isinstance(rows, Unavailable):
            # Whether the claim was written stays open; it is not used.
            self._writer.tell(Later(lambda: self._give_up(row_key, row)))
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
        return self._explain(row_key, found.version, found.value)

    def _explain(self, row_key: RowKey, version: int, row: Any) -> ClaimOutcome:
        state = row["state"]
        if state == ClaimState.DONE:
            return _load_answer(self._services.objects, row)
        if state == ClaimState.CLAIMED and self._is_gone(row["member_id"]):
            unknown = {**row, "state": ClaimState.UNKNOWN}
            self._commit(row_key, version, unknown)
            state = ClaimState.UNKNOWN
        detail = "still running" if state == ClaimState.CLAIMED else "outcome not known"
        return Unknown(Reason.CLAIMED_ELSEWHERE, "claim", row["member_id"], detail)

    def _is_gone(self, member_id: str) -> bool:
        snapshot = self._services.membership.snapshot()
        record = snapshot.member_by_id.get(member_id)
        # Without a lease the roster may be too old to know the member.
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
