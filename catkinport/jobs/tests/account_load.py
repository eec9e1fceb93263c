"""A fleet whose workers carry out tasks in simulated time, under load of accounts."""

from collections.abc import Mapping, Sequence

from ...policy.resources import NO_RESOURCES
from ..configuration import Account
from .builders import Fleet, make_job, make_step, make_worker

TASKS_PER_WORKER = 4
TASK_SECONDS = 1.0
TICK_SECONDS = 0.25
OBJECTIVE_SECONDS = 2.2
"""Objective of a job of one task: 1.6 times its duration plus 0.6 s."""


class LoadedFleet(Fleet):
    """A fleet that runs jobs of one task of a second, and notes when they are done.

    Args:
        n_workers: number of workers, each with room for `TASKS_PER_WORKER` tasks.
        weight_by_account: weights of the accounts.

    Attributes:
        latencies_by_account: times from acceptance to completion, in seconds.
    """

    def __init__(self, n_workers: int, weight_by_account: Mapping[str, float]) -> None:
        super().__init__([make_worker(f"w{i}") for i in range(n_workers)])
        accounts = {
            name: Account(name, weight, NO_RESOURCES)
            for name, weight in weight_by_account.items()
        }
        configuration = self.dispatcher.configuration._replace(account_by_name=accounts)
        self.dispatcher.apply_configuration(configuration)
        self.latencies_by_account: dict[str, list[float]] = {
            name: [] for name in accounts
        }
        self._running: list[tuple[float, object]] = []
        self._n_jobs = 0

    def send(self, account: str, n_jobs: int = 1, n_tasks: int = 1) -> None:
        for _ in range(n_jobs):
            self._n_jobs += 1
            job_id = f"{self._n_jobs:016x}"
            job = make_job(job_id, [make_step(n_tasks)], account=account)
            self.dispatcher.add_job(job, self.now)

    def tick(self) -> None:
        """Let a quarter of a second pass; end tasks, and plan and start others."""
        self.advance(TICK_SECONDS)
        due = [start for ends_at, start in self._running if ends_at <= self.now + 1e-6]
        self._running = [
            (ends_at, start)
            for ends_at, start in self._running
            if ends_at > self.now + 1e-6
        ]
        for start in due:
            self.end(start)
        self._forget_ended()
        self.list_workers()
        self._running += [(self.now + TASK_SECONDS, start) for start in self.start()]

    def _forget_ended(self) -> None:
        for record in list(self.dispatcher.job_by_id.values()):
            if record.is_final:
                latency = self.now - record.accepted_at
                self.latencies_by_account[record.job.account].append(latency)
                record.is_dirty = False
                self.dispatcher.forget_ended(record)

    def send_evenly(self, seconds: float, rate_by_account: Mapping[str, float]) -> None:
        """Let the accounts send jobs at steady rates, in jobs a second."""
        sent = dict.fromkeys(rate_by_account, 0.0)
        for _ in range(round(seconds / TICK_SECONDS)):
            for account, rate in rate_by_account.items():
                sent[account] += rate * TICK_SECONDS
                n_jobs = int(sent[account] + 1e-6)
                sent[account] -= n_jobs
                self.send(account, n_jobs)
            self.tick()

    def run_idle(self, seconds: float) -> None:
        """Let time pass without new jobs."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick()

    def share_on_time(self, accounts: Sequence[str]) -> float:
        """Return the part of the completed jobs of accounts that were on time.

        All accounts must have completed jobs.
        """
        latencies = [s for name in accounts for s in self.latencies_by_account[name]]
        return sum(s <= OBJECTIVE_SECONDS for s in latencies) / len(latencies)
