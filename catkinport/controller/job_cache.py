"""Cache of the queued and running jobs of a pool."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, cast

from ..ports import Row, RowKey, Table, Unavailable
from ..state import JobRow, JobState, job_key

ACTIVE_STATES = (JobState.QUEUED, JobState.RUNNING)
MAX_REQUESTED_READS_PER_STEP = 200
SCAN_PAGE_ROWS = 500

PAGES_PER_STEP_AT_FIRST = 10
"""Pages read in each step of the first scan. Later scans read one, but no job is placed
before the first scan has ended."""


class Job(NamedTuple):
    """Job as it was last read or written; ``version`` is the version of its row."""

    queue: str
    job_id: str
    version: int
    row: JobRow

    @property
    def row_key(self) -> RowKey:
        """Key of the job's row."""
        return job_key(self.queue, self.job_id)


class JobCache:
    """Jobs of a pool's queues that are queued or running.

    Each step does a bounded amount of work: it reads the jobs that were asked for in
    one call and one page of a scan, or several pages of the first scan.

    Args:
        table: client of the table service.

    Attributes:
        is_loaded: whether all jobs have been read once.
        n_changes: number of changes of active jobs so far.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._job_by_id: dict[str, Job] = {}
        self._requested_reads: dict[RowKey, None] = {}
        self._queues: tuple[str, ...] = ()
        self._scan_queue_index = 0
        self._scan_after_key = ""
        self._is_scanning = False
        self.is_loaded = False
        self.n_changes = 0

    def __len__(self) -> int:
        return len(self._job_by_id)

    def get(self, job_id: str) -> Job | None:
        """Return a queued or running job, ``None`` if there is none of this id."""
        return self._job_by_id.get(job_id)

    def list_jobs(self, state: JobState) -> list[Job]:
        """Return the jobs in ``state``."""
        return [job for job in self._job_by_id.values() if job.row["state"] == state]

    def set_queues(self, queues: Sequence[str]) -> None:
        """Set the queues that run on the pool; a change starts a new scan."""
        if tuple(queues) != self._queues:
            self._queues = tuple(queues)
            self.start_scan()

    def start_scan(self) -> None:
        """Start reading all jobs, unless a scan is under way."""
        if not self._is_scanning:
            self._is_scanning = True
            self._scan_queue_index = 0
            self._scan_after_key = ""

    def request_read(self, queue: str, job_id: str) -> None:
        """Ask for a job to be read in one of the next steps."""
        self._requested_reads[job_key(queue, job_id)] = None

    def refresh(self) -> None:
        """Read the jobs that were asked for and the next page of a running scan."""
        self._read_requested()
        n_pages = 1 if self.is_loaded else PAGES_PER_STEP_AT_FIRST
        for _ in range(n_pages):
            if self._is_scanning:
                self._scan_page()

    def put(self, job: Job) -> None:
        """Store a job that was read or written, unless a newer version is known.

        A job that is neither queued nor running is removed.
        """
        known = self._job_by_id.get(job.job_id)
        if known is not None and known.version >= job.version:
            return
        is_active = job.row["state"] in ACTIVE_STATES
        self.n_changes += is_active or known is not None
        if job.row["state"] in ACTIVE_STATES:
            self._job_by_id[job.job_id] = job
        else:
            self._job_by_id.pop(job.job_id, None)

    def _remove(self, job_id: str) -> None:
        if self._job_by_id.pop(job_id, None) is not None:
            self.n_changes += 1

    def _read_requested(self) -> None:
        row_keys = list(self._requested_reads)[:MAX_REQUESTED_READS_PER_STEP]
        if not row_keys:
            return
        rows = self._table.read(row_keys)
        if isinstance(rows, Unavailable):
            return
        for row_key in row_keys:
            del self._requested_reads[row_key]
            if row_key not in rows:
                self._remove(row_key.key.partition("/")[2])
        self._put_rows(rows.values())

    def _scan_page(self) -> None:
        if self._scan_queue_index >= len(self._queues):
            self._finish_scan()
            return
        prefix = self._queues[self._scan_queue_index] + "/"
        page = self._table.scan("jobs", prefix, self._scan_after_key, SCAN_PAGE_ROWS)
        if isinstance(page, Unavailable):
            return
        self._put_rows(page.rows)
        if page.next_after_key is not None:
            self._scan_after_key = page.next_after_key
            return
        self._scan_queue_index += 1
        self._scan_after_key = ""
        if self._scan_queue_index >= len(self._queues):
            self._finish_scan()

    def _finish_scan(self) -> None:
        self._is_scanning = False
        self.is_loaded = True

    def _put_rows(self, rows: Iterable[Row]) -> None:
        for row in rows:
            queue, _, job_id = row.row_key.key.partition("/")
            self.put(Job(queue, job_id, row.version, cast(JobRow, row.value)))
