"""Registry of the benchmarks and the type of their results."""

from collections.abc import Callable, Sequence
from typing import NamedTuple


class Figure(NamedTuple):
    """One measured quantity, where lower is better.

    Args:
        setting: sizes and conditions of the run.
        quantity: what was measured, with its unit.
        product: figure of the product's function.
        baseline: figure of the naive baseline on the same input.
        bound: best figure possible on the same input, measured or calculated.
        target: largest product figure that meets the stated target.
        is_promise: whether a missed target is a regression that fails the run. Only
            for deterministic figures whose target has been met before.
    """

    setting: str
    quantity: str
    product: float
    baseline: float | None = None
    bound: float | None = None
    target: float | None = None
    is_promise: bool = False

    @property
    def status(self) -> str:
        """Return ``met``, ``missed`` or, without a target, ``-``."""
        if self.target is None:
            return "-"
        return "met" if self.product <= self.target else "missed"


Benchmark = Callable[[], Sequence[Figure]]

benchmark_by_name: dict[str, Benchmark] = {}


def register(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a function that runs one benchmark with fixed seeds."""

    def decorate(function: Benchmark) -> Benchmark:
        if name in benchmark_by_name:
            raise ValueError(f"benchmark {name!r} is registered twice")
        benchmark_by_name[name] = function
        return function

    return decorate
