"""Metrics and log lines at the end of callers' requests."""

import logging
from collections.abc import Mapping
from typing import Any

from ..ports import Clock, NotRun, Refused, Unknown
from ..runtime import Metrics, log_event
from .calls import Call

logger = logging.getLogger(__name__)


class RequestRecorder:
    """Records how callers' requests end.

    Args:
        clock: clock of the calls' times.
        metrics: metrics of the process.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics

    def record_refusal(
        self, request_id: str, queue: str, refusal: Refused, started_at: float
    ) -> None:
        """Record a request that was refused before its team was known."""
        labels = {"team": "", "class": "", "outcome": "not-run"}
        self._observe_seconds(labels, started_at)
        self._log_end(request_id, "not-run", refusal, 0.0, queue=queue)

    def record_end(
        self, call: Call, kind: str, outcome: NotRun | Refused | Unknown | None
    ) -> None:
        """Record the end of a call; ``outcome`` is ``None`` if it was answered."""
        is_urgent = call.authorized.queue.is_urgent
        labels = {
            "team": call.authorized.team.name,
            "class": "urgent" if is_urgent else "long",
            "outcome": kind,
        }
        self._observe_seconds(labels, call.started_at)
        seconds = self._clock.now() - call.started_at
        self._log_end(
            call.request_id,
            kind,
            outcome,
            seconds,
            queue=call.authorized.queue.name,
            team=call.authorized.team.name,
        )

    def _observe_seconds(self, labels: Mapping[str, str], started_at: float) -> None:
        self._metrics.observe(
            "catkin_request_seconds",
            "Time from a request's head to the end of its answer.",
            labels,
            self._clock.now() - started_at,
        )

    def _log_end(
        self,
        request_id: str,
        kind: str,
        outcome: NotRun | Refused | Unknown | None,
        seconds: float,
        **fields: Any,
    ) -> None:
        if outcome is None:
            level = logging.DEBUG
        else:
            level = logging.INFO
            fields |= {"reason": outcome.reason.value, "step": outcome.step}
            fields |= {"peer": outcome.peer, "detail": outcome.detail}
        log_event(
            logger,
            "request ended",
            level,
            request_id=request_id,
            outcome=kind,
            seconds=f"{seconds:.4f}",
            **fields,
        )
