"""Routes for health, readiness and metrics, which need no key."""

from collections.abc import Callable

from ..membership.interface import MembershipSnapshot
from ..runtime import HttpAnswer, HttpRequest, Metrics, Router, json_answer


def find_not_ready_reason(
    snapshot: MembershipSnapshot, now: float, is_stopping: bool
) -> str:
    """Return why a daemon is not ready, an empty text if it is.

    Args:
        snapshot: configuration of the daemon and its freshness lease, which shows that
            the configuration is current.
        now: time on the member's clock, in seconds.
        is_stopping: whether a planned stop is under way.
    """
    if is_stopping:
        return "stopping"
    if snapshot.environment is None:
        return "no configuration"
    if not snapshot.is_fresh(now):
        return "no freshness lease"
    return ""


def add_health_routes(
    router: Router, metrics: Metrics, check_ready: Callable[[], str]
) -> None:
    """Add ``/healthz``, ``/readyz`` and ``/metrics``.

    Args:
        router: the router.
        metrics: metrics of the process.
        check_ready: returns why the process isn't ready, an empty text if it is.
    """

    @router.route("GET", "/healthz")
    def show_health(request: HttpRequest) -> HttpAnswer:
        return json_answer(200, {"status": "alive"})

    @router.route("GET", "/readyz")
    def show_readiness(request: HttpRequest) -> HttpAnswer:
        reason = check_ready()
        if reason:
            return json_answer(503, {"status": "not ready", "reason": reason})
        return json_answer(200, {"status": "ready"})

    @router.route("GET", "/metrics")
    def show_metrics(request: HttpRequest) -> HttpAnswer:
        content, content_type = metrics.render()
        return HttpAnswer(200, content, {"Content-Type": content_type})
