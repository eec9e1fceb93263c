"""Global options, environment variables and streams of a command."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple, Protocol, TextIO

from .api import ApiClient
from .exit_codes import ExitCode, Failure
from .output import Report

DEFAULT_API = "http://127.0.0.1:7080"


class Session(NamedTuple):
    """Global options of a command, and the variables and streams of the process."""

    api: str
    key_file: str
    change_id: str
    output: str
    environ: Mapping[str, str] = os.environ
    stdout: TextIO = sys.stdout
    sleep: Callable[[float], None] = time.sleep

    def connect(self) -> ApiClient | Failure:
        """Return a client of the API given by the global options."""
        return self.connect_to(self.api, self.key_file)

    def connect_to(self, api: str, key_file: str) -> ApiClient | Failure:
        """Return a client of the API at ``api`` with the key in ``key_file``.

        Without a file, the key is that of ``CATKIN_OPERATOR_KEY``.
        """
        key = self._read_key(key_file)
        if isinstance(key, Failure):
            return key
        return ApiClient(api, key, self.change_id, self.sleep)

    def _read_key(self, key_file: str) -> str | Failure:
        key = self.environ.get("CATKIN_OPERATOR_KEY", "")
        if key_file:
            content = read_file(key_file)
            if isinstance(content, Failure):
                return content
            key = content.strip()
        if key and key.isascii() and key.isprintable():
            return key
        error = "there is no operator key, or it is not NAME.SECRET"
        hint = "set CATKIN_OPERATOR_KEY, or --key-file to a file that holds the key"
        return Failure(ExitCode.ACCESS, error, hint)


class Runnable(Protocol):
    """Interface of a command."""

    def run(self, session: Session) -> Report | Failure:
        """Run the command; return its result or why it failed."""
        ...


def read_file(path: str) -> str | Failure:
    """Return the text of a file with its line endings unchanged."""
    try:
        return Path(path).read_bytes().decode("utf-8")
    except OSError as error:
        return Failure(ExitCode.INVALID, f"{path} cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        message = f"{path} is not UTF-8 text: byte {error.start} is not allowed"
        return Failure(ExitCode.INVALID, message)
