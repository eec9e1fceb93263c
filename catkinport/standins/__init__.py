"""Stand-ins of the platform, workers and backend servers, with fault injection."""

from ._late_table import LateTable
from ._lossy_table import LossyTable
from ._table import MemoryTable
from ._vms import MemoryVmList
from ._workers import MemoryWorkers

__all__ = [
    "LateTable",
    "LossyTable",
    "MemoryTable",
    "MemoryVmList",
    "MemoryWorkers",
]
