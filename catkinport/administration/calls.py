"""Registration of routes that only operators may call."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from ..ports import Reason, Refused
from ..runtime import BadRequestError, HttpAnswer, HttpRequest, Router, log_event
from ..settings.environment import Environment, Operator
from .access import authenticate, read_change_id
from .answers import answer_outcome
from .context import AdministrationContext

logger = logging.getLogger(__name__)


class OperatorCall(NamedTuple):
    """A request of an operator.

    Args:
        context: components of the daemon.
        request: the request.
        operator: name of the operator.
        change_id: id of the change; empty when the route changes nothing.
    """

    context: AdministrationContext
    request: HttpRequest
    operator: str
    change_id: str

    @property
    def environment(self) -> Environment:
        """The configuration in force.

        Routes that the bootstrap operator may call must not use it, as there may be
        no configuration yet.
        """
        environment = self.context.membership.snapshot().environment
        assert environment is not None
        return environment

    def read_body(self) -> dict[str, Any]:
        """Return the JSON object in the body; an empty body is an empty object.

        Raises:
            BadRequestError: if the body is not a JSON object.
        """
        body = self.request.read_json()
        if body is None:
            return {}
        if not isinstance(body, dict):
            raise BadRequestError("the body must be a JSON object")
        return body


class OperatorRoutes:
    """Routes of a router that authenticate the operator before each call.

    Args:
        router: the router.
        context: components of the daemon.
    """

    def __init__(self, router: Router, context: AdministrationContext) -> None:
        self._router = router
        self._context = context

    def read(self, path: str, allows_bootstrap: bool = False) -> Callable:
        """Register the decorated handler for a GET request, which changes nothing."""
        return self._register("GET", path, allows_bootstrap, is_change=False)

    def compute(self, path: str, allows_bootstrap: bool = False) -> Callable:
        """Register the decorated handler for a POST request that changes nothing."""
        return self._register("POST", path, allows_bootstrap, is_change=False)

    def change(
        self, method: str, path: str, allows_bootstrap: bool = False
    ) -> Callable:
        """Register the decorated handler of a change.

        A request needs the header ``Idempotency-Key``.
        """
        return self._register(method, path, allows_bootstrap, is_change=True)

    def _register(
        self, method: str, path: str, allows_bootstrap: bool, is_change: bool
    ) -> Callable:
        def register(handler: Callable[..., Any]) -> Callable[..., Any]:
            def handle(request: HttpRequest, **parts: str) -> HttpAnswer:
                call = self._build_call(request, allows_bootstrap, is_change)
                if not isinstance(call, OperatorCall):
                    answer = answer_outcome(call)
                    self._record_answer(method, path, "", request, answer)
                    return answer
                answer = answer_outcome(handler(call, **parts))
                self._record_answer(method, path, call.operator, request, answer)
                return answer

            self._router.route(method, path)(handle)
            return handler

        return register

    def _build_call(
        self, request: HttpRequest, allows_bootstrap: bool, is_change: bool
    ) -> Any:
        """Return the call, or the outcome with which the request is refused."""
        header = request.headers.get("authorization")
        operator = authenticate(self._context, header, allows_bootstrap)
        if not isinstance(operator, Operator):
            return operator
        change_id = ""
        if is_change:
            outcome = read_change_id(request.headers.get("idempotency-key"))
            if isinstance(outcome, Refused):
                return outcome
            change_id = outcome
        return OperatorCall(self._context, request, operator.name, change_id)

    def _record_answer(
        self,
        method: str,
        path: str,
        operator: str,
        request: HttpRequest,
        answer: HttpAnswer,
    ) -> None:
        self._context.metrics.increment(
            "catkin_administration_requests",
            "Requests to the administration API.",
            {"route": f"{method} {path}", "status": str(answer.status)},
        )
        log_event(
            logger,
            "administration request answered",
            method=method,
            path=request.path,
            operator=operator,
            status=answer.status,
        )


def read_whole_number(source: Any, name: str) -> int | None:
    """Return ``source[name]`` as a number of at least 0, ``None`` if it is missing.

    Raises:
        BadRequestError: if it is anything else.

    Example:
        >>> read_whole_number({"expected_revision": "7"}, "expected_revision")
        7
    """
    value = source.get(name)
    if value is None:
        return None
    if isinstance(value, str) and value.isascii() and value.isdigit():
        # Converting a longer text would take quadratic time, and no revision or
        # version has as many digits.
        value = int(value) if len(value) <= 18 else None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise BadRequestError(f"{name} must be a whole number of at least 0")
    return value


def read_text(body: dict[str, Any], name: str) -> str:
    """Return the text ``body[name]``.

    Raises:
        BadRequestError: if it is missing or no text.
    """
    value = body.get(name)
    if not isinstance(value, str):
        raise BadRequestError(f"{name} must be given as a text")
    return value


def not_found(step: str, what: str) -> Refused:
    """Return the refusal of an operation on something that doesn't exist."""
    return Refused(Reason.NOT_FOUND, step, detail=f"there is no {what}")
