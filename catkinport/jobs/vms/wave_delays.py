"""Logs why waves of upkeep are behind their schedules.

A wave that can't be carried out, as tasks on its VMs may not be ended, stays open for
as long as that is so. Its status row tells no more than that it is not complete.
"""

import logging
from collections import Counter
from typing import NamedTuple

from ...policy.upkeep import WaveView, find_upkeep_hold, is_behind
from ...runtime.logs import log_event
from ..placement.blocked_workers import format_counts

logger = logging.getLogger(__name__)

MIN_DELAY_SECONDS = 5.0
"""Time without a VM that begins its upkeep from which on a wave counts as delayed, and
shortest time between two lines on a wave."""

MAX_REASONS_WIDTH = 80
"""Most characters of the reasons in a line."""

NOT_UP = "not-up"
"""Reason of VMs that the platform shows as down or moving."""


class _Progress(NamedTuple):
    """VMs of a wave that have begun, since when, and the time of the latest line."""

    n_begun: int
    since: float
    logged_at: float = float("-inf")


class WaveDelays:
    """Waits of the waves for their next upkeep."""

    def __init__(self) -> None:
        self._progress_by_wave: dict[int, _Progress] = {}

    def note(self, wave: int, view: WaveView, now: float) -> None:
        """Note the state of an open wave, and log its delay if that is due.

        Args:
            wave: number of the wave.
            view: its state.
            now: clock time in seconds.
        """
        progress = self._progress_by_wave.get(wave)
        if progress is None or progress.n_begun != view.n_begun:
            progress = _Progress(view.n_begun, now)
            self._progress_by_wave[wave] = progress
        is_delayed = is_behind(view) and now - progress.since >= MIN_DELAY_SECONDS
        if not is_delayed or now - progress.logged_at < MIN_DELAY_SECONDS:
            return
        self._progress_by_wave[wave] = progress._replace(logged_at=now)
        log_event(
            logger,
            "wave delayed",
            level=logging.WARNING,
            wave=wave,
            reasons=format_counts(_count_holds(view), MAX_REASONS_WIDTH),
            n_left=view.n_vms - view.n_begun,
            n_down=view.n_down,
            max_down=view.max_down,
            age_seconds=round(view.age_seconds, 1),
            deadline_seconds=view.deadline_seconds,
        )


def _count_holds(view: WaveView) -> dict[str, int]:
    """Return how many VMs wait for each reason."""
    n_by_reason = Counter(
        find_upkeep_hold(candidate, view).value for candidate in view.candidates
    )
    n_not_up = view.n_vms - view.n_begun - len(view.candidates)
    if n_not_up > 0:
        n_by_reason[NOT_UP] = n_not_up
    return dict(n_by_reason)
