"""What an owner has learnt, kept in a row for its successor.

Nothing that has to hold depends on it: without the row, or with an old one, a new owner
learns anew.
"""

import logging
import time
from collections.abc import Mapping
from typing import Any

from ..policy.durations import DurationModel
from ..policy.turns import PoolMemory, TurnTracker
from ..runtime.logs import log_event
from .dispatcher import Dispatcher

logger = logging.getLogger(__name__)

MEMORY_SECONDS = 1.0
"""Time between two writes of the row, each of which is charged."""

MAX_AGE_SECONDS = 30.0
"""An older row tells nothing of present turns."""


def build_memory(
    dispatcher: Dispatcher, turns: TurnTracker, now: float
) -> dict[str, Any]:
    """Return the row's value."""
    return {
        "saved_at": time.time(),
        "period_seconds": turns.period_seconds,
        "turns": {pool: list(m) for pool, m in turns.remember(now).items()},
        "durations": {
            queue: model.to_sums()
            for queue, model in dispatcher.outlook.durations_by_queue.items()
        },
    }


def restore_memory(
    value: Mapping[str, Any], dispatcher: Dispatcher, turns: TurnTracker, now: float
) -> None:
    """Take over what a former owner has learnt.

    Daemons have different steady clocks, so the age of the row comes from the time of
    day. A row that cannot be read is left aside.
    """
    try:
        age = max(0.0, time.time() - float(value["saved_at"]))
        memory = {pool: PoolMemory(*entry) for pool, entry in value["turns"].items()}
        period = value["period_seconds"]
        durations = {
            queue: DurationModel.from_sums(sums)
            for queue, sums in value["durations"].items()
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log_event(logger, "owner memory unreadable", reason=repr(error)[:200])
        return
    dispatcher.outlook.durations_by_queue.update(durations)
    if age <= MAX_AGE_SECONDS:
        turns.restore({p: _add_age(m, age) for p, m in memory.items()}, period, now)
    log_event(
        logger,
        "owner memory restored",
        age_seconds=round(age, 2),
        n_queues=len(durations),
        n_pools=len(memory),
    )


def _add_age(memory: PoolMemory, age: float) -> PoolMemory:
    return PoolMemory(*(None if part is None else part + age for part in memory))
