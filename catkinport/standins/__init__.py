"""Small stand-ins of the platform, workers and backend servers, with faults."""

from ._table import MemoryTable
from ._vms import MemoryVmList

__all__ = ["MemoryTable", "MemoryVmList"]
