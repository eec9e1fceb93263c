"""Peak memory and open descriptors of a process, read from ``/proc``."""

import re
from pathlib import Path
from typing import NamedTuple


class ProcessUsage(NamedTuple):
    """Usage of a process: peak resident memory in KB and open descriptors."""

    peak_kb: int
    n_descriptors: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a running process."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"^VmHWM:\s+(\d+) kB", status, re.MULTILINE)
    if match is None:
        raise RuntimeError(f"process {pid} has no peak memory; it has ended")
    n_descriptors = sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    return ProcessUsage(int(match[1]), n_descriptors)
