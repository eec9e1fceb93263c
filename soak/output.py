"""Files that explain a run of the soak test, beside the output of the processes.

They are in the folder of the processes: the log of the soak, with times that compare to
those of the daemons' logs, the schedule of faults, and the events of the workers.
"""

import contextlib
import json
import logging
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

from catkinport.runtime.logs import KeyValueFormatter

from .faults import PlannedFault


@contextlib.contextmanager
def log_to_folder(folder: Path) -> Iterator[None]:
    """Write the log of the soak to ``soak.log`` in a folder while the context lasts."""
    handler = logging.FileHandler(folder / "soak.log")
    handler.setFormatter(KeyValueFormatter())
    soak_logger = logging.getLogger(__package__)
    soak_logger.addHandler(handler)
    soak_logger.setLevel(logging.INFO)
    try:
        yield
    finally:
        soak_logger.removeHandler(handler)
        handler.close()


def write_schedule(folder: Path, schedule: Sequence[PlannedFault]) -> None:
    """Write the planned faults to ``schedule.json``."""
    planned = [fault._asdict() for fault in schedule]
    (folder / "schedule.json").write_text(json.dumps(planned, indent=1))


def write_events(folder: Path, events: Sequence[Mapping[str, Any]]) -> None:
    """Write the events that the workers recorded to ``events.jsonl``, one a line."""
    lines = [json.dumps(event) + "\n" for event in events]
    (folder / "events.jsonl").write_text("".join(lines))
