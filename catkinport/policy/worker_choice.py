"""Chooses the worker that runs a task.

The choice is best fit: among equally suitable workers, a task goes to the one with the
least free cores. Whole workers then stay free for maintenance, for large tasks and to
be switched off. Variables named ``room`` hold a worker with its free resources.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .crash_blame import REPEATED_CRASHES
from .resources import Resources

ROUNDING_TOLERANCE = 1e-6
"""Tolerance for rounding errors in sums of resources."""


class CandidateWorker:
    """A worker that may take tasks, and its free resources.

    Args:
        worker_id: id of the worker.
        labels: kind and rack.
        free: free part of its capacity.
        penalty: workers with a low penalty are preferred; 0 for a healthy worker.

    Attributes:
        is_cold: whether it is slow, as it has started lately.
        is_maintenance_due: whether its VM is about to be taken down.
        is_last_resort: whether it only gets lasting tasks, and only those that fit on
            no other worker, because it is suspected to be bad.
        n_tasks_by_step: number of tasks that it runs, by name of their step.
        n_fillers: number of filler tasks that it runs.
        n_latency_tasks: number of tasks with a latency target that it runs.
        reserved_for: names of the only tasks that may start on it; empty for all tasks.
        n_tasks: number of tasks that it runs.
        n_suspects: number of those that may crash it, as they have just started and
            were on crashed workers before.
        has_repeated_suspect: whether one of these has had `REPEATED_CRASHES`.
    """

    __slots__ = (
        "accelerators",
        "cores",
        "is_cold",
        "is_last_resort",
        "has_repeated_suspect",
        "is_maintenance_due",
        "labels",
        "memory_gb",
        "n_tasks_by_step",
        "n_fillers",
        "n_latency_tasks",
        "n_suspects",
        "n_tasks",
        "penalty",
        "reserved_for",
        "worker_id",
    )

    def __init__(
        self,
        worker_id: str,
        labels: tuple[str, ...],
        free: Resources,
        penalty: float = 0.0,
    ) -> None:
        self.worker_id = worker_id
        self.labels = labels
        self.cores, self.memory_gb, self.accelerators = free
        self.penalty = penalty
        self.is_cold = False
        self.is_last_resort = False
        self.is_maintenance_due = False
        self.n_tasks_by_step: dict[str, int] = {}
        self.n_fillers = 0
        self.n_latency_tasks = 0
        self.reserved_for: set[str] = set()
        self.n_tasks = 0
        self.n_suspects = 0
        self.has_repeated_suspect = False

    def is_open_to(self, task: "TaskNeed") -> bool:
        """Return whether the task may start on it by its reservations."""
        return not self.reserved_for or task.task in self.reserved_for

    def count(self, task: "TaskNeed") -> None:
        """Count a task that runs already; ``free`` does not contain its resources."""
        self.n_tasks_by_step[task.step] = self.n_tasks_by_step.get(task.step, 0) + 1
        self.n_fillers += task.is_filler
        self.n_latency_tasks += task.has_target
        self.n_tasks += 1
        self.n_suspects += task.n_crashes > 0
        self.has_repeated_suspect |= task.n_crashes >= REPEATED_CRASHES

    def take(self, task: "TaskNeed") -> None:
        """Count a task and reserve its resources, except the cores of a filler task."""
        self.count(task)
        self.cores -= task.counted_need.cores
        self.memory_gb -= task.need.memory_gb
        self.accelerators -= task.need.accelerators


class TaskNeed(NamedTuple):
    """Requirements and preferences of a task regarding its worker.

    Args:
        step: name of the step that it belongs to.
        need: resources that it uses; the cores of a filler task are not counted.
        required_label: label that its worker must have; empty for none.
        preferred_rack: label of the rack that holds its data; empty for none.
        max_per_worker: most tasks of its step on a worker; 0 for no limit.
        is_lasting: whether it runs until its job is canceled.
        preferred_max_per_worker: most tasks of its step that a worker should run if
            others have room, so that its VM can be taken down; 0 for no preference.
        is_filler: whether it is a filler task, which only uses processors that other
            tasks leave idle.
        has_target: whether it has a latency target.
        avoided_worker: worker on which it failed before; empty for none.
        task: name of the task.
        n_crashes: number of crashes of workers that it is a suspect of.
    """

    step: str
    need: Resources
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    is_lasting: bool = False
    preferred_max_per_worker: int = 0
    is_filler: bool = False
    has_target: bool = False
    avoided_worker: str = ""
    task: str = ""
    n_crashes: int = 0

    @property
    def counted_need(self) -> Resources:
        """Resources that it takes from its worker: no cores for a filler task."""
        return self.need._replace(cores=0.0) if self.is_filler else self.need


def fits(task: TaskNeed, room: CandidateWorker) -> bool:
    """Return whether the worker ``room`` can take the task.

    Example:
        >>> room = CandidateWorker("w", ("r1",), Resources(4.0, 8.0, 0))
        >>> fits(TaskNeed("s", Resources(4.0, 1.0, 0)), room)
        True
        >>> fits(TaskNeed("s", Resources(1.0, 1.0, 0), required_label="gpu"), room)
        False
    """
    return room.is_open_to(task) and has_room(task, room)


def has_room(task: TaskNeed, room: CandidateWorker) -> bool:
    """Return whether the task fits on the worker, whatever tasks it is reserved for."""
    if room.has_repeated_suspect:
        return False
    if task.n_crashes >= REPEATED_CRASHES and room.n_suspects:
        return False
    return has_free_resources(task, room) and is_suitable(task, room)


def has_free_resources(task: TaskNeed, room: CandidateWorker) -> bool:
    """Return whether what is free on the worker suffices for the task."""
    cores = 0.0 if task.is_filler else task.need.cores
    return (
        cores <= room.cores + ROUNDING_TOLERANCE
        and task.need.memory_gb <= room.memory_gb + ROUNDING_TOLERANCE
        and task.need.accelerators <= room.accelerators + ROUNDING_TOLERANCE
    )


def is_suitable(task: TaskNeed, room: CandidateWorker, n_more_of_step: int = 0) -> bool:
    """Return whether the worker may run the task, whatever resources are free.

    Args:
        task: requirements of the task.
        room: the worker.
        n_more_of_step: tasks of the same step that are about to start there.
    """
    if task.required_label and task.required_label not in room.labels:
        return False
    if room.is_last_resort and not task.is_lasting:
        return False
    n_of_step = room.n_tasks_by_step.get(task.step, 0) + n_more_of_step
    return not task.max_per_worker or n_of_step < task.max_per_worker


def choose_worker(
    task: TaskNeed,
    rooms: Iterable[CandidateWorker],
    find_waste: Callable[[CandidateWorker], float] | None = None,
) -> CandidateWorker | None:
    """Return the best worker for the task, or ``None`` if it fits on none.

    Args:
        task: requirements of the task.
        rooms: workers with their free resources.
        find_waste: returns how many cores the task would make useless for what waits;
            ``None`` for best fit only.
    """
    fitting = [room for room in rooms if fits(task, room)]
    return min(
        fitting, key=lambda room: placement_cost(task, room, find_waste), default=None
    )


def placement_cost(
    task: TaskNeed,
    room: CandidateWorker,
    find_waste: Callable[[CandidateWorker], float] | None = None,
) -> tuple[float, ...]:
    """Return the sort key of a worker for a task; the lowest is the best."""
    is_far = bool(task.preferred_rack) and task.preferred_rack not in room.labels
    is_avoided = room.worker_id == task.avoided_worker
    n_disturbing = 0
    if task.is_filler:
        n_disturbing = room.n_latency_tasks
    elif task.has_target:
        n_disturbing = room.n_fillers + room.n_latency_tasks
    n_of_step = room.n_tasks_by_step.get(task.step, 0)
    return (
        room.is_last_resort,
        room.n_suspects,
        room.n_tasks if task.n_crashes else 0,
        is_avoided,
        room.penalty,
        room.is_cold,
        task.is_lasting and room.is_maintenance_due,
        max(0, n_of_step + 1 - task.preferred_max_per_worker)
        if task.preferred_max_per_worker
        else 0,
        is_far,
        n_disturbing,
        find_waste(room) if find_waste else 0.0,
        room.cores,
        room.memory_gb,
    )
