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
    """Command that creates a key for an [operator] or [bootstrap] section."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]

    def run(self, session: Session) -> Report | Failure:
        """Return the key, and the salt and digest for the section."""
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
    """Command that lists keys."""

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
    """Command that grants a key; only the hash of its secret is sent."""

    name: Annotated[str, cappa.Arg(help="Name of the new key.")]
    account: Annotated[str, cappa.Arg(help="Account that the key is for.")]
    secret_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="File for the secret. It is written before the key is granted, or read"
            " if it exists already, so that the command can be repeated.",
        ),
    ] = ""

    def run(self, session: Session) -> Report | Failure:
        """Return the key, or the file that holds its secret."""
        client = session.connect()
        if isinstance(client, Failure):
            return client
        secret = _prepare_secret(self.secret_file)
        if isinstance(secret, Failure):
            return secret
        salt = _derive_salt(session.change_id, self.name)
        body = {"account": self.account, **hash_secret(secret, salt)._asdict()}
        answer = client.change("PUT", path_of("keys", self.name), body)
        if isinstance(answer, Failure):
            return self._add_hint(answer)
        report = report_acceptance(answer)
        if self.secret_file:
            lines = [*report.lines, f"the secret is in {self.secret_file}"]
            return Report({**answer, "secret_file": self.secret_file}, lines)
        key = f"{self.name}.{secret}"
        lines = [*report.lines, f"key (shown only now): {key}"]
        return Report({**answer, "key": key}, lines)

    def _add_hint(self, failure: Failure) -> Failure:
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
    """Command that withdraws a key."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]

    def run(self, session: Session) -> Report | Failure:
        """Return the revision of the document without the key."""
        client = session.connect()
        if isinstance(client, Failure):
            return client
        answer = client.change("DELETE", path_of("keys", self.name))
        return answer if isinstance(answer, Failure) else report_acceptance(answer)


@cappa.command(name="key", help="Grant, withdraw, list and create keys.")
@dataclass
class KeyCommand:
    """Group of the commands on keys."""

    command: cappa.Subcommands[KeyList | KeyGrant | KeyWithdraw | KeyCreate]

    def run(self, session: Session) -> Report | Failure:
        """Run the chosen command of the group."""
        return self.command.run(session)


def _derive_salt(change_id: str, name: str) -> str:
    """Return a salt that is the same when a grant is repeated with its change id.

    A salt need not be secret but must differ between keys; it does, as a change id is
    random unless the operator gives one.
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
