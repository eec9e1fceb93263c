"""Orders the requests that wait for a slot of a service.

There are two classes of requests: urgent and long. Urgent requests go first. To keep
long requests from starving, every ``URGENT_RUN_LENGTH + 1``-th dispatch goes to a long
request while any waits; this costs urgent requests at most an eighth of the dispatches.
Teams share each class by weighted fair queueing (start-time fair queueing in which each
request costs one unit).
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..ports import NotRun, Reason

URGENT_RUN_LENGTH = 7
# Weight of a new observation in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.1


class WaitingRequest(NamedTuple):
    """A request that waits for a slot of the service.

    Args:
        request_id: id of the request.
        team: team whose share and limit it counts towards.
        weight: the team's weight, above 0.
        is_urgent: whether it is in the urgent class.
        deadline: time by which the whole answer is needed, in seconds.
    """

    request_id: str
    team: str
    weight: float
    is_urgent: bool
    deadline: float


class OfferResult(NamedTuple):
    """Result of offering a request to the queue.

    ``refusal`` is ``None`` if the request was queued. ``displaced`` is a request of
    another team that was removed to make room for it.
    """

    refusal: NotRun | None
    displaced: WaitingRequest | None = None


class _ClassQueue:
    """Waiting requests of one class, in weighted fair order of the teams."""

    def __init__(self) -> None:
        self.requests_by_team: dict[str, deque[WaitingRequest]] = {}
        self._finish_by_team: dict[str, float] = {}
        self._virtual_time = 0.0
        self.service_seconds = 0.0

    def __len__(self) -> int:
        return sum(len(requests) for requests in self.requests_by_team.values())

    def push(self, request: WaitingRequest, at_front: bool = False) -> None:
        requests = self.requests_by_team.setdefault(request.team, deque())
        if not requests:
            finish = self._finish_by_team.get(request.team, 0.0)
            self._finish_by_team[request.team] = max(finish, self._virtual_time)
        if at_front:
            requests.appendleft(request)
        else:
            requests.append(request)

    def pop(self, can_run: Callable[[str], bool]) -> WaitingRequest | None:
        teams = [team for team in self.requests_by_team if can_run(team)]
        if not teams:
            return None
        team = min(teams, key=lambda name: (self._finish_by_team[name], name))
        request = self.requests_by_team[team].popleft()
        self._virtual_time = max(self._virtual_time, self._finish_by_team[team])
        self._finish_by_team[team] += 1 / request.weight
        self._drop_if_empty(team)
        return request

    def remove(self, request: WaitingRequest) -> bool:
        requests = self.requests_by_team.get(request.team)
        if requests is None or request not in requests:
            return False
        requests.remove(request)
        self._drop_if_empty(request.team)
        return True

    def __iter__(self) -> Iterator[WaitingRequest]:
        for requests in self.requests_by_team.values():
            yield from requests

    def record_service_time(self, seconds: float) -> None:
        if self.service_seconds == 0.0:
            self.service_seconds = seconds
        else:
            self.service_seconds += SERVICE_TIME_SMOOTHING * (
                seconds - self.service_seconds
            )

    def estimate_work_seconds(self) -> float:
        return len(self) * self.service_seconds

    def _drop_if_empty(self, team: str) -> None:
        if not self.requests_by_team[team]:
            del self.requests_by_team[team]
        if not self.requests_by_team:
            self._finish_by_team.clear()
            self._virtual_time = 0.0


class AdmissionQueue:
    """Bounded queue of the requests that wait for one service.

    Args:
        max_waiting: most requests that may wait, at least 0.

    Example:
        >>> queue = AdmissionQueue(max_waiting=2)
        >>> long = WaitingRequest("r-1", "a", 1.0, False, 60.0)
        >>> urgent = WaitingRequest("r-2", "b", 1.0, True, 60.0)
        >>> queue.offer(long, now=0.0, n_slots=8).refusal
        >>> queue.offer(urgent, now=0.0, n_slots=8).refusal
        >>> queue.pop(0.0, lambda team: True).request_id
        'r-2'
    """

    def __init__(self, max_waiting: int) -> None:
        if max_waiting < 0:
            raise ValueError(f"max_waiting must be >= 0, got {max_waiting!r}")
        self.max_waiting = max_waiting
        self._urgent = _ClassQueue()
        self._long = _ClassQueue()
        self._n_urgent_in_a_row = 0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._long)

    def offer(self, request: WaitingRequest, now: float, n_slots: int) -> OfferResult:
        """Queue a request, or refuse it.

        It is refused if its deadline would pass in the queue, or if the queue is full
        and no request may be displaced for it.

        Args:
            request: the request.
            now: current time in seconds.
            n_slots: slots that the waiting requests share.
        """
        wait = self.estimate_wait(request, n_slots)
        if now + wait >= request.deadline:
            detail = f"estimated wait {wait:.3f} s"
            return OfferResult(NotRun(Reason.DEADLINE, "admission", "", detail, wait))
        displaced = None
        if len(self) >= self.max_waiting:
            displaced = self._find_displaced(request)
            if displaced is None:
                return OfferResult(NotRun(Reason.QUEUE_FULL, "admission", "", "", 1.0))
            self.remove(displaced)
        self._class_of(request).push(request)
        return OfferResult(None, displaced)

    def requeue(self, request: WaitingRequest) -> None:
        """Put a request first in its team's queue, without the checks of ``offer``."""
        self._class_of(request).push(request, at_front=True)

    def pop(self, now: float, can_run: Callable[[str], bool]) -> WaitingRequest | None:
        """Return the request to dispatch next.

        Args:
            now: current time; requests past their deadline are not returned.
            can_run: whether a team is below its limit.
        """
        self.remove_expired(now)
        is_long_due = self._n_urgent_in_a_row >= URGENT_RUN_LENGTH
        queues = [self._urgent, self._long]
        for queue in reversed(queues) if is_long_due else queues:
            request = queue.pop(can_run)
            if request is not None:
                self._count_dispatch(request)
                return request
        return None

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        return self._class_of(request).remove(request)

    def remove_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for queue in (self._urgent, self._long)
            for request in queue
            if request.deadline <= now
        ]
        for request in expired:
            self.remove(request)
        return expired

    def record_service_time(self, is_urgent: bool, seconds: float) -> None:
        """Record how long a request of a class held its slot."""
        (self._urgent if is_urgent else self._long).record_service_time(seconds)

    def estimate_wait(self, request: WaitingRequest, n_slots: int) -> float:
        """Return the expected wait of a request that is queued now, in seconds."""
        seconds = self._urgent.estimate_work_seconds()
        if not request.is_urgent:
            seconds += self._long.estimate_work_seconds()
        return seconds / max(1, n_slots)

    def mean_service_seconds(self, is_urgent: bool) -> float:
        """Return the mean time in seconds that a request of a class holds its slot."""
        return (self._urgent if is_urgent else self._long).service_seconds

    def count_by_team(self) -> dict[str, int]:
        """Return how many requests of each team wait."""
        count_by_team: dict[str, int] = {}
        for queue in (self._urgent, self._long):
            for team, requests in queue.requests_by_team.items():
                count_by_team[team] = count_by_team.get(team, 0) + len(requests)
        return count_by_team

    def _class_of(self, request: WaitingRequest) -> _ClassQueue:
        return self._urgent if request.is_urgent else self._long

    def _count_dispatch(self, request: WaitingRequest) -> None:
        if not request.is_urgent or not len(self._long):
            self._n_urgent_in_a_row = 0
        else:
            self._n_urgent_in_a_row += 1

    def _find_displaced(self, request: WaitingRequest) -> WaitingRequest | None:
        """Return the request to remove from a full queue, or ``None``.

        Without the removal, a team that has filled the queue would keep others out. The
        request is the newest one of the team with the most waiting requests for its
        weight, if these are more than the team of ``request`` would have. Long requests
        are removed before urgent ones, and urgent ones only for an urgent request.
        """
        queues = (self._long, self._urgent) if request.is_urgent else (self._long,)
        own = sum(1 for queue in queues for r in queue if r.team == request.team)
        for queue in queues:
            load_by_team = {
                team: len(requests) / requests[0].weight
                for team, requests in queue.requests_by_team.items()
                if team != request.team
            }
            if not load_by_team:
                continue
            team = max(load_by_team, key=lambda name: load_by_team[name])
            if load_by_team[team] > (own + 1) / request.weight:
                return queue.requests_by_team[team][-1]
        return None
