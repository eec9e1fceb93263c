"""The callers' API as a WSGI application."""

from ..runtime import HttpAnswer, HttpRequest, Router
from .jobs import JobHandler
from .requests import RequestForwarder


def build_application(forwarder: RequestForwarder, jobs: JobHandler) -> Router:
    """Return a router with the routes of the callers' API.

    Args:
        forwarder: handles requests.
        jobs: handles jobs.
    """
    router = Router()

    @router.route("*", "/v1/queues/{queue}/requests/{path*}")
    def forward(request: HttpRequest, queue: str, path: str) -> HttpAnswer:
        return forwarder.handle(request, queue, path)

    @router.route("POST", "/v1/queues/{queue}/jobs")
    def submit(request: HttpRequest, queue: str) -> HttpAnswer:
        return jobs.submit(request, queue)

    @router.route("GET", "/v1/queues/{queue}/jobs/{job_id}")
    def show(request: HttpRequest, queue: str, job_id: str) -> HttpAnswer:
        return jobs.show(request, queue, job_id)

    @router.route("GET", "/v1/queues/{queue}/jobs/{job_id}/result")
    def show_result(request: HttpRequest, queue: str, job_id: str) -> HttpAnswer:
        return jobs.show_result(request, queue, job_id)

    @router.route("DELETE", "/v1/queues/{queue}/jobs/{job_id}")
    def cancel(request: HttpRequest, queue: str, job_id: str) -> HttpAnswer:
        return jobs.cancel(request, queue, job_id)

    return router
