"""Commands on callers' and operators' keys."""

import hashlib
import os
from dataclasses import dataclass
from typing import Annotated

import cappa

from ..settings.declaration import NAME_ALLOWED, NAME_PATTERN
from ..settings.keys import SECRET_ALLOWED, create_salt, create_secret, hash_secret
from .api import path_of
from .documents import report_acceptance
from .exit_codes import ExitCode, Failure
from .output import Report, Table
from .session import Session, read_file


@cappa.command(name="create", help="Create a secret and its hash; changes nothing.")
@dataclass
class KeyCreate:
    """Creates what an [operator] or [bootstrap] section needs."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]

    def run(self, session: Session) -> Report | Failure:
        """Return the key and the options for the section."""
        if not NAME_PATTERN.fullmatch(self.name):
            error = f"the name must be {NAME_ALLOWED}, got {self.name!r}"
            return Failure(ExitCode.INVALID, error)
        secret = create_secret()
        salted_hash = hash_secret(secret, create_salt())
        key = f"{self.name}.{secret}"
        lines = [
            f"key (shown only now): {key}",
            f"salt = {salted_hash.salt}",
            f"digest = {salted_hash.digest}",
        ]
        return Report({"key": key, **salted_hash._asdict()}, lines)


@cappa.command(name="list", help="List callers' keys, without secrets.")
@dataclass
class KeyList:
    """Lists keys."""

    def run(self, session: Session) -> Report | Failure:
        """Return the keys."""
        client = session.connect()
        answer = client if isinstance(client, Failure) else client.get("/v1/keys")
        if isinstance(answer, Failure):
            return answer
        table = Table(("name", "account", "team"), answer["keys"])
        return Report(answer, tables=[table])


@cappa.command(name="grant", help="Grant a new key to an account.")
@dataclass
class KeyGrant:
    """Grants a key; only the hash of its secret is sent."""

    name: Annotated[str, cappa.Arg(help="Name of the new key.")]
    account: Annotated[str, cappa.Arg(help="Account that the key is for.")]
    secret_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="File for the secret. It is written before the key is granted and"
            " used again if it exists, so that the command can be repeated.",
        ),
    ] = ""

    def run(self, session: Session) -> Report | Failure:
        """Return the key."""
        client = session.connect()
        if isinstance(client, Failure):
            return client
        secret = _prepare_secret(self.secret_file)
        if isinstance(secret, Failure):
            return secret
        salt = _salt_of(session.change_id, self.name)
        body = {"account": self.account, **hash_secret(secret, salt)._asdict()}
        answer = client.change("PUT", path_of("keys", self.name), body)
        if isinstance(answer, Failure):
            return self._explain(answer)
        report = report_acceptance(answer)
        if self.secret_file:
            lines = [*report.lines, f"the secret is in {self.secret_file}"]
            return Report({**answer, "secret_file": self.secret_file}, lines)
        key = f"{self.name}.{secret}"
        lines = [*report.lines, f"key (shown only now): {key}"]
        return Report({**answer, "key": key}, lines)

    def _explain(self, failure: Failure) -> Failure:
        if failure.exit_code != ExitCode.UNKNOWN or self.secret_file:
            return failure
        hint = (
            f"the key may have been granted, but its secret is lost; run catkinctl key"
            f" withdraw {self.name}, then grant it again with --secret-file"
        )
        return failure._replace(hint=hint)


@cappa.command(name="withdraw", help="Withdraw a key and wait until it is refused.")
@dataclass
class KeyWithdraw:
    """Withdraws a key."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]

    def run(self, session: Session) -> Report | Failure:
        """Return the acceptance."""
        client = session.connect()
        if isinstance(client, Failure):
            return client
        answer = client.change("DELETE", path_of("keys", self.name))
        return answer if isinstance(answer, Failure) else report_acceptance(answer)


@cappa.command(name="key", help="Grant, withdraw, list and create keys.")
@dataclass
class KeyCommand:
    """Commands on keys."""

    command: cappa.Subcommands[KeyList | KeyGrant | KeyWithdraw | KeyCreate]

    def run(self, session: Session) -> Report | Failure:
        """Run the command."""
        return self.command.run(session)


def _salt_of(change_id: str, name: str) -> str:
    """Return a salt that the repetition of a grant gives again.

    A salt has to be different for each key, not secret; a new change id is random.
    """
    return hashlib.sha256(f"{change_id}/{name}".encode()).hexdigest()[:32]


def _prepare_secret(path: str) -> str | Failure:
    if not path:
        return create_secret()
    secret = create_secret()
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        return _read_secret(path)
    except OSError as error:
        message = f"{path} cannot be written: {error.strerror}"
        return Failure(ExitCode.INVALID, message)
    with open(descriptor, "w", encoding="ascii") as file:
        file.write(secret + "\n")
    return secret


def _read_secret(path: str) -> str | Failure:
    content = read_file(path)
    if isinstance(content, Failure):
        return content
    try:
        hash_secret(content.strip(), "")
    except ValueError:
        message = f"the secret in {path} must be {SECRET_ALLOWED}"
        return Failure(ExitCode.INVALID, message, "name a file that doesn't exist")
    return content.strip()
