"""Small HTTP layer: routes and typed answers on a cheroot WSGI server."""

import json
import logging
import re
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

from cheroot import wsgi

from .http_connections import BoundedServer
from .logs import log_event

logger = logging.getLogger(__name__)

MAX_JSON_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_WAITING_CONNECTIONS = 1024
MAX_WAITING_REQUESTS = 512
"""Requests that wait for a thread; more are answered with 503."""

# The unread rest of a body up to this size is read and dropped, so that the sender
# sees the answer; for a larger one the connection is closed.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024


class HttpRequest(NamedTuple):
    """HTTP request that is passed to a handler."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    environ: Mapping[str, Any]

    def read_json(self) -> Any:
        """Return the body parsed as JSON; an empty body is ``None``.

        Raises:
            BadRequestError: if the body is too large or not JSON.
        """
        try:
            length = int(self.environ.get("CONTENT_LENGTH") or 0)
        except ValueError as error:
            raise BadRequestError("Content-Length must be a whole number") from error
        if length > MAX_JSON_BODY_BYTES:
            raise BadRequestError(
                f"the body must have at most {MAX_JSON_BODY_BYTES} bytes, got {length}"
            )
        try:
            return json.loads(self.environ["wsgi.input"].read(length) or b"null")
        except ValueError as error:
            raise BadRequestError(f"the body is not JSON: {error}") from error


class HttpAnswer(NamedTuple):
    """HTTP answer; ``body`` is bytes or an iterator of chunks."""

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: Mapping[str, str] = {}


class BadRequestError(Exception):
    """Error for a malformed request, which is answered with status 400."""


Handler = Callable[..., HttpAnswer]


def json_answer(
    status: int, value: Any, headers: Mapping[str, str] | None = None
) -> HttpAnswer:
    """Return an answer whose body is ``value`` as JSON."""
    body = json.dumps(value).encode()
    return HttpAnswer(
        status, body, {"Content-Type": "application/json", **(headers or {})}
    )


class Router:
    """Registry of handlers by method and path, as a WSGI application.

    A path has named parts in braces; ``{name*}`` takes the rest of the path.

    Example:
        >>> router = Router()
        >>> @router.route("GET", "/v1/jobs/{job_id}")
        ... def show_job(request, job_id):
        ...     return json_answer(200, {"job_id": job_id})
        >>> router.list_routes()
        ['GET /v1/jobs/{job_id}']
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, str, re.Pattern[str], Handler]] = []

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register the decorated handler; method ``*`` matches all methods."""
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)

        def register(handler: Handler) -> Handler:
            self._routes.append((method, path, re.compile(pattern), handler))
            return handler

        return register

    def list_routes(self) -> list[str]:
        """Return the method and path of every route."""
        return [f"{method} {path}" for method, path, _, _ in self._routes]

    def dispatch(self, request: HttpRequest) -> HttpAnswer:
        """Call the first handler whose method and path match."""
        is_path_known = False
        for method, _, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            is_path_known = True
            if method in ("*", request.method):
                parts = {
                    name: unquote(text) for name, text in match.groupdict().items()
                }
                return handler(request, **parts)
        if is_path_known:
            return json_answer(405, {"error": f"{request.method} is not allowed here"})
        return json_answer(404, {"error": f"there is no resource {request.path}"})

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer a WSGI request."""
        request = _request_from_environ(environ)
        try:
            answer = self.dispatch(request)
        except BadRequestError as error:
            answer = json_answer(400, {"error": str(error)})
        except Exception:
            logger.exception("handler failed")
            answer = json_answer(500, {"error": "internal error"})
        headers = dict(answer.headers)
        body = answer.body
        if isinstance(body, bytes):
            headers["Content-Length"] = str(len(body))
            body = [body]
        start_response(_status_line(answer.status), list(headers.items()))
        return body


class HttpServer:
    """Server that runs a WSGI application in a background thread.

    Args:
        application: the WSGI application.
        host: IP address to listen on.
        port: port to listen on; 0 lets the kernel choose.
        n_threads: number of requests handled at the same time, at least 1.
        max_body_bytes: largest body that is accepted; 0 for no limit.
        max_connections: most connections that wait for a request; beyond it, the ones
            that have waited longest are closed.
    """

    def __init__(
        self,
        application: Any,
        host: str,
        port: int,
        n_threads: int = 10,
        max_body_bytes: int = 0,
        max_connections: int = MAX_WAITING_CONNECTIONS,
    ):
        if n_threads < 1:
            raise ValueError(f"n_threads must be >= 1, got {n_threads!r}")
        if max_body_bytes < 0:
            raise ValueError(f"max_body_bytes must be >= 0, got {max_body_bytes!r}")
        self._server = BoundedServer(
            max_connections,
            (host, port),
            application,
            numthreads=n_threads,
            request_queue_size=512,
            accepted_queue_size=MAX_WAITING_REQUESTS,
            # A full queue is answered with 503 and must not hold up the acceptance.
            accepted_queue_timeout=0,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.gateway = _BodyDiscardingGateway
        self._server.error_log = _log_server_error
        self._thread = threading.Thread(
            target=self._server.serve, name="http-server", daemon=True
        )

    @property
    def address(self) -> str:
        """``host:port`` that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port, then serve in the background."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections and wait for the requests in flight."""
        self._server.stop()
        self._thread.join()


class _BodyDiscardingGateway(wsgi.Gateway_10):
    """Gateway that handles request bodies which the application did not read whole.

    cheroot itself reads the rest of a body of known length into memory at once, and
    leaves the rest of a chunked body on the connection, where it would be taken for
    the next request.
    """

    def respond(self) -> None:
        """Answer the request; refuse a negative ``Content-Length``.

        With a negative length, a read of the body lasts until the peer closes.
        """
        if getattr(self.req.rfile, "remaining", 0) >= 0:
            super().respond()
            return
        self.req.close_connection = True
        super().start_response("400 Bad Request", [("Content-Length", "0")])
        self.req.ensure_headers_sent()

    def start_response(self, status: Any, headers: Any, exc_info: Any = None) -> Any:
        """Accept the answer's head and discard the rest of the request's body.

        If the rest is chunked or has more than ``MAX_DISCARDED_BYTES``, the connection
        is closed after the answer instead.
        """
        write = super().start_response(status, headers, exc_info)
        body = self.req.rfile
        remaining = getattr(body, "remaining", 0)
        if remaining > MAX_DISCARDED_BYTES or not getattr(body, "closed", True):
            self.req.close_connection = True
            return write
        for _ in read_chunks(body, remaining):
            pass
        if hasattr(body, "read_trailer_lines"):
            # The empty line after the last chunk would otherwise be taken for the next
            # request, and hold a thread until the connection times out after 10 s.
            for _ in body.read_trailer_lines():
                pass
        if getattr(body, "remaining", 0) > 0:
            self.req.close_connection = True
        return write


def read_chunks(stream: Any, n_bytes: int, chunk_bytes: int = 65536) -> Iterator[bytes]:
    """Yield ``n_bytes`` of ``stream`` in chunks."""
    remaining = n_bytes
    while remaining > 0:
        chunk = stream.read(min(chunk_bytes, remaining))
        if not chunk:
            return
        remaining -= len(chunk)
        yield chunk


def _request_from_environ(environ: dict[str, Any]) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    query = {
        name: values[-1]
        for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
    }
    path = environ["PATH_INFO"]
    return HttpRequest(environ["REQUEST_METHOD"], path, query, headers, environ)


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    log_event(
        logger,
        "http server message logged",
        level=level,
        detail=msg,
        exception=traceback,
    )
