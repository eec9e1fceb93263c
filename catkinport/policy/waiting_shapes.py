"""Finds how much of a worker's free cores tasks that wait could use.

Best fit looks only at cores. It may fill the memory of a worker whose cores are free,
or leave a rest of cores that no waiting task fits into.
"""

from .resources import Resources

MAX_SHAPES = 3
"""Most shapes that are considered, those with most waiting cores."""

MAX_TASKS_IN_REST = 12
"""Number of the smallest shape in a rest of cores from which on only that shape is
considered. It bounds the combinations, and so many tasks leave little of the rest."""

KEY_DIGITS = 3
"""Decimals to which amounts of cores are rounded, as sums of needs differ slightly."""


class WaitingShapes:
    """Shapes of the tasks of a pool that wait for room, from the latest pass.

    Example:
        >>> shapes = WaitingShapes()
        >>> shapes.note(Resources(7.0, 7.0, 0), 4)
        >>> shapes.note(Resources(3.0, 3.0, 0), 4)
        >>> shapes.end_pass()
        >>> shapes.unusable_cores(10.0, 64.0), shapes.unusable_cores(8.0, 64.0)
        (0.0, 1.0)
        >>> shapes.unusable_cores(10.0, 4.0)
        6.0
    """

    def __init__(self) -> None:
        self._n_tasks_by_need: dict[Resources, int] = {}
        self._sizes: list[float] = []
        self._gb_per_core = 0.0
        self._usable_by_cores: dict[float, float] = {}

    @property
    def smallest_cores(self) -> float:
        """Cores of the smallest shape; 0 if nothing waits."""
        return self._sizes[0] if self._sizes else 0.0

    def note(self, need: Resources, n_tasks: int) -> None:
        """Note that tasks of a shape wait for room."""
        if need.cores > 0:
            self._n_tasks_by_need[need] = self._n_tasks_by_need.get(need, 0) + n_tasks

    def end_pass(self) -> None:
        """Use the shapes that were noted since the last pass."""
        most = sorted(
            self._n_tasks_by_need,
            key=lambda need: need.cores * self._n_tasks_by_need[need],
            reverse=True,
        )[:MAX_SHAPES]
        sizes = sorted({need.cores for need in most})
        if sizes != self._sizes:
            self._usable_by_cores.clear()
        self._sizes = sizes
        ratios = (need.memory_gb / need.cores for need in most)
        self._gb_per_core = min(ratios, default=0.0)
        self._n_tasks_by_need.clear()

    def unusable_cores(self, cores: float, memory_gb: float) -> float:
        """Return how many of a worker's free cores no waiting task can use."""
        if not self._sizes or cores <= 0:
            return 0.0
        usable = self._find_usable(round(cores, KEY_DIGITS))
        if self._gb_per_core:
            usable = min(usable, max(0.0, memory_gb) / self._gb_per_core)
        return round(cores - usable, KEY_DIGITS)

    def added_waste(self, need: Resources, cores: float, memory_gb: float) -> float:
        """Return how many more free cores are unusable once a task has started.

        Args:
            need: what the task takes.
            cores: free cores of the worker before.
            memory_gb: free memory of the worker before.
        """
        before = self.unusable_cores(cores, memory_gb)
        rest = (cores - need.cores, memory_gb - need.memory_gb)
        return round(self.unusable_cores(*rest) - before, KEY_DIGITS)

    def _find_usable(self, cores: float) -> float:
        """Return the largest sum of sizes that is at most ``cores``."""
        usable = self._usable_by_cores.get(cores)
        if usable is None:
            smallest = self._sizes[0]
            if cores >= MAX_TASKS_IN_REST * smallest:
                usable = cores // smallest * smallest
            else:
                usable = self._try_all(cores)
            self._usable_by_cores[cores] = usable
        return usable

    def _try_all(self, cores: float) -> float:
        sums = (
            size + self._find_usable(round(cores - size, KEY_DIGITS))
            for size in self._sizes
            if size <= cores
        )
        return max(sums, default=0.0)
