"""Interfaces to the platform, workers and backend servers, with typed messages."""

from .backend_servers import (
    BackendAnswer,
    BackendRequest,
    BackendServers,
    BrokenAnswerError,
)
from .clock import Clock, ManualClock
from .object_store import ObjectStore
from .outcomes import NotRun, Reason, Refused, Unavailable, Unknown
from .table import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    Condition,
    Conflict,
    Page,
    Row,
    RowKey,
    Table,
    Transaction,
    Write,
    scan_all,
)
from .vm_list import ListedVm, VmList, VmStatus
from .workers import TaskReport, TaskSpecification, TaskState, Workers

__all__ = [
    "ABSENT_VERSION",
    "BackendAnswer",
    "BackendRequest",
    "BackendServers",
    "BrokenAnswerError",
    "Clock",
    "CommitOutcome",
    "Committed",
    "Condition",
    "Conflict",
    "ListedVm",
    "ManualClock",
    "NotRun",
    "ObjectStore",
    "Page",
    "Reason",
    "Refused",
    "Row",
    "RowKey",
    "Table",
    "TaskReport",
    "TaskSpecification",
    "TaskState",
    "Transaction",
    "Unavailable",
    "Unknown",
    "VmList",
    "VmStatus",
    "Workers",
    "Write",
    "scan_all",
]
