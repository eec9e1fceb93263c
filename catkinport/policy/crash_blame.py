"""Decides which task is to blame for the crash of a worker, and when to give it up.

A task may crash each worker that starts it. A crash ends all runs of the worker, so the
guilty task can only be told from the others by its further starts: a task that was on a
crashed worker is a suspect and is kept apart from other suspects at its next start. The
users' page allows a task to be given up after two crashes, and forbids a third start
after three crashes.

A lasting task is never given up, as it has no limit of failures. The one that is to
blame for several crashes is started less often.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

SUSPECT_SECONDS = 2.0
"""A run is no suspect if its worker has answered this long after the start. A task that
crashes its workers does so at its start. Lasting tasks that are suspected for longer
collect crashes and take the blame."""

CLEARED_SECONDS = 10.0
"""A run that lasts this long clears its task of earlier crashes."""

TRIAL_SECONDS = 1.0
"""A suspect is kept apart until its worker has answered this long after the start."""

BLAMED_VMS = 2
"""A task is given up once it is to blame for the crashes of this many VMs. Other causes
crash the same VM repeatedly, but not each VM on which a task starts."""

SUSPECTED_VMS = 3
"""A task that is to blame for one crash is given up once it is a suspect of the crashes
of this many VMs."""

MAX_CRASHES = 4
"""A task is given up after this many crashes without a longer run between them, even if
others may be to blame. A fifth start is allowed, for a crash that a change of ownership
hides."""

REPEATED_CRASHES = 2
"""A task with this many crashes starts only on a worker without another suspect, and
after its crashes are stored."""


FIRST_RESTART_PAUSE_SECONDS = 1.0
"""Pause before the next start of a lasting task that is to blame for two crashes. It
doubles with each further one."""

MAX_RESTART_PAUSE_SECONDS = 4.0
"""Longest such pause. A lasting task with room must run again within 9 s."""


class Crash(NamedTuple):
    """Crash of a worker that a task is a suspect of.

    Args:
        vm_id: VM of the worker.
        is_blamed: whether it is certain that the task is to blame.
    """

    vm_id: str
    is_blamed: bool


class SuspectRun(NamedTuple):
    """A run on a crashed worker.

    Args:
        name: name of the run, unique on the worker.
        n_crashes: number of crashes that its task was a suspect of before.
        age_seconds: time from the confirmation of its start to the worker's latest
            answer.
    """

    name: str
    n_crashes: int
    age_seconds: float


def find_suspects(runs: Sequence[SuspectRun]) -> dict[str, bool]:
    """Return the runs that may have crashed their worker.

    Returns:
        For each suspect, by name, whether it is to blame. That is the only suspect, or
        the only one with the most earlier crashes. On a tie, none is.

    Example:
        >>> find_suspects([SuspectRun("a", 1, 0.5), SuspectRun("b", 0, 0.5)])
        {'a': True, 'b': False}
        >>> find_suspects([SuspectRun("a", 0, 0.5), SuspectRun("b", 0, 0.5)])
        {'a': False, 'b': False}
    """
    suspects = [run for run in runs if run.age_seconds < SUSPECT_SECONDS]
    most = max((run.n_crashes for run in suspects), default=0)
    is_certain = sum(run.n_crashes == most for run in suspects) == 1
    return {run.name: is_certain and run.n_crashes == most for run in suspects}


def must_give_up(crashes: Collection[Crash]) -> bool:
    """Return whether a task is given up for the crashes that it is a suspect of.

    Example:
        >>> must_give_up([Crash("vm-a", False), Crash("vm-b", True)])
        False
        >>> must_give_up([Crash("vm-a", True), Crash("vm-b", True)])
        True
    """
    blamed_vms = {crash.vm_id for crash in crashes if crash.is_blamed}
    vms = {crash.vm_id for crash in crashes}
    return (
        len(blamed_vms) >= BLAMED_VMS
        or (len(vms) >= SUSPECTED_VMS and bool(blamed_vms))
        or len(crashes) >= MAX_CRASHES
    )


def restart_pause_seconds(crashes: Collection[Crash]) -> float:
    """Return for how long a lasting task waits after a crash until its next start.

    Example:
        >>> blamed = Crash("vm-a", True)
        >>> [restart_pause_seconds([blamed] * n) for n in range(6)]
        [0.0, 0.0, 1.0, 2.0, 4.0, 4.0]
    """
    n_repeated = sum(crash.is_blamed for crash in crashes) - REPEATED_CRASHES
    if n_repeated < 0:
        return 0.0
    pause_seconds = FIRST_RESTART_PAUSE_SECONDS * 2.0**n_repeated
    return min(MAX_RESTART_PAUSE_SECONDS, pause_seconds)


def is_on_trial(known_seconds: float) -> bool:
    """Return whether the run of a suspect may still crash its worker.

    Args:
        known_seconds: time from the confirmation of the start to the worker's latest
            answer; 0 before the confirmation.
    """
    return known_seconds < TRIAL_SECONDS


def is_cleared(known_seconds: float) -> bool:
    """Return whether a run has lasted long enough to prove its task innocent.

    Args:
        known_seconds: time for which the run is known to have lasted.
    """
    return known_seconds >= CLEARED_SECONDS
