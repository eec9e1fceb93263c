"""The configuration that a member has applied."""

import logging

from ..runtime import log_event
from ..settings.environment import Environment
from .settings import Parse

# Used until a document says how long requests may take.
DEFAULT_LONGEST_REQUEST_SECONDS = 600.0

_logger = logging.getLogger(__name__)


class AppliedConfiguration:
    """The newest document that the member has applied, with its revision.

    Args:
        parse: parses a document into the environment.
    """

    def __init__(self, parse: Parse) -> None:
        self._parse = parse
        self.revision = 0
        self.document = ""
        self.environment: Environment | None = None
        self.longest_request_seconds = DEFAULT_LONGEST_REQUEST_SECONDS

    def apply(self, revision: int, document: str) -> bool:
        """Apply a document of a later revision; return whether it was applied."""
        if revision <= self.revision:
            return False
        try:
            environment = self._parse(document)
        except ValueError as error:
            # A member that does not hold the current revision cannot renew its lease.
            log_event(
                _logger,
                "accepted document rejected by parser",
                logging.ERROR,
                revision=revision,
                detail=error,
            )
            return False
        self._update_longest_request(environment)
        self.revision = revision
        self.document = document
        self.environment = environment
        log_event(_logger, "configuration applied", revision=revision)
        return True

    def _update_longest_request(self, environment: Environment) -> None:
        # Requests that were accepted under an earlier, longer limit may still run.
        longest = [s.max_request_seconds for s in environment.service_by_name.values()]
        previous = [] if self.environment is None else [self.longest_request_seconds]
        self.longest_request_seconds = max([*longest, *previous], default=0.0)
