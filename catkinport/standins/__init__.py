"""Stand-ins of the platform, workers and backend servers, with fault injection."""

from ._lossy_table import LossyTable
from ._table import MemoryTable
from ._vms import MemoryVmList
from ._workers import MemoryWorkers

__all__ = ["LossyTable", "MemoryTable", "MemoryVmList", "MemoryWorkers"]
