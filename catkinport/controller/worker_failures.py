"""Tells workers that fail every task from jobs that fail everywhere."""

MAX_JOBS_FAILED_IN_A_ROW = 3


class WorkerFailures:
    """Counts the jobs that failed on each worker since its last success.

    Example:
        >>> failures = WorkerFailures()
        >>> for job_id in ("a", "b", "c"):
        ...     failures.record("vm-1", job_id, has_failed=True)
        >>> failures.bad_vms()
        {'vm-1'}
    """

    def __init__(self) -> None:
        self._failed_jobs_by_vm: dict[str, set[str]] = {}

    def record(self, vm_id: str, job_id: str, has_failed: bool) -> None:
        """Record the end of a task."""
        if has_failed:
            self._failed_jobs_by_vm.setdefault(vm_id, set()).add(job_id)
        else:
            self._failed_jobs_by_vm.pop(vm_id, None)

    def forget(self, vm_id: str) -> None:
        """Give a worker a new chance, after a reboot."""
        self._failed_jobs_by_vm.pop(vm_id, None)

    def bad_vms(self) -> set[str]:
        """Return the workers to quarantine.

        A job that failed on several workers says nothing about any of them.
        """
        n_by_job: dict[str, int] = {}
        for jobs in self._failed_jobs_by_vm.values():
            for job_id in jobs:
                n_by_job[job_id] = n_by_job.get(job_id, 0) + 1
        return {
            vm_id
            for vm_id, jobs in self._failed_jobs_by_vm.items()
            if sum(n_by_job[job_id] == 1 for job_id in jobs) >= MAX_JOBS_FAILED_IN_A_ROW
        }
