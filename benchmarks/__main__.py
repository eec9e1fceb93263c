"""Runs the registered benchmarks: ``python -m benchmarks --json results.json``."""

import importlib
import json
import pkgutil
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa

import benchmarks

from .registry import Figure, benchmark_by_name

_HEADER = ("benchmark", "setting", "quantity", "baseline", "product", "bound", "target")


class Run(NamedTuple):
    """Figures of one benchmark and the processor time of its run, in seconds."""

    figures: Sequence[Figure]
    cpu_seconds: float


@cappa.command(name="benchmarks")
@dataclass(frozen=True)
class Arguments:
    """Run benchmarks and print one table.

    Args:
        names: benchmarks to run; all of them if no name is given.
        json: file that the results are written to.
        plots: folder that the plots are written to.
    """

    names: Annotated[list[str], cappa.Arg()] = field(default_factory=list)
    json: Annotated[Path | None, cappa.Arg(long=True)] = None
    plots: Annotated[Path | None, cappa.Arg(long=True)] = None


def main() -> int:
    """Run the benchmarks and return the exit code.

    Returns:
        0, 1 if a figure with ``is_promise`` misses its target, 2 for an unknown name.
    """
    arguments = cappa.parse(Arguments)
    _import_benchmarks()
    unknown = set(arguments.names) - set(benchmark_by_name)
    if unknown:
        known = ", ".join(sorted(benchmark_by_name))
        print(f"names must be among {known}; got {', '.join(sorted(unknown))}")
        return 2
    run_by_name = {}
    for name in arguments.names or sorted(benchmark_by_name):
        run_by_name[name] = _run(name)
        print(f"{name}: {run_by_name[name].cpu_seconds:.1f} s of CPU", flush=True)
    _print_table(run_by_name)
    if arguments.json:
        arguments.json.write_text(json.dumps(_to_json(run_by_name), indent=2) + "\n")
    if arguments.plots:
        _draw(run_by_name, arguments.plots)
    return _report_regressions(run_by_name)


def _import_benchmarks() -> None:
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name != "__main__" and not module.ispkg:
            importlib.import_module(f"benchmarks.{module.name}")


def _run(name: str) -> Run:
    started = time.process_time()
    figures = benchmark_by_name[name]()
    return Run(figures, time.process_time() - started)


def _print_table(run_by_name: Mapping[str, Run]) -> None:
    lines = [(*_HEADER, "status")]
    for name, run in run_by_name.items():
        for figure in run.figures:
            values = (figure.baseline, figure.product, figure.bound, figure.target)
            texts = ["-" if value is None else f"{value:.4g}" for value in values]
            lines.append((name, figure.setting, figure.quantity, *texts, figure.status))
    widths = [max(len(line[i]) for line in lines) for i in range(len(lines[0]))]
    for line in lines:
        cells = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def _to_json(run_by_name: Mapping[str, Run]) -> dict[str, object]:
    return {
        name: {
            "cpu_seconds": run.cpu_seconds,
            "figures": [
                {**figure._asdict(), "status": figure.status} for figure in run.figures
            ],
        }
        for name, run in run_by_name.items()
    }


def _draw(run_by_name: Mapping[str, Run], folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for name, run in run_by_name.items():
        figure, axes = pyplot.subplots(figsize=(8, 1 + 0.4 * len(run.figures)))
        labels = [f"{item.setting}: {item.quantity}" for item in run.figures]
        for kind, marker in (("baseline", "x"), ("product", "o"), ("bound", "|")):
            values = [getattr(item, kind) for item in run.figures]
            points = [(v, y) for y, v in enumerate(values) if v is not None]
            axes.scatter(
                *zip(*points, strict=True) if points else ([], []),
                marker=marker,
                label=kind,
            )
        axes.set_yticks(range(len(labels)), labels)
        axes.set_xscale("symlog", linthresh=0.01)
        axes.set_title(name)
        axes.legend()
        figure.savefig(folder / f"{name}.png", bbox_inches="tight")
        pyplot.close(figure)


def _report_regressions(run_by_name: Mapping[str, Run]) -> int:
    status = 0
    for name, run in run_by_name.items():
        for figure in run.figures:
            if figure.is_promise and figure.status == "missed":
                print(f"regression: {name}, {figure.setting}, {figure.quantity}")
                status = 1
    return status


if __name__ == "__main__":
    raise SystemExit(main())
