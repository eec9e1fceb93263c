"""Creation, hashing and verification of the secrets of callers and operators."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from ..ports import Reason, Refused
from .declaration import NAME_ALLOWED, NAME_PATTERN
from .environment import Account, Environment, Key, Operator, Team

SECRET_BYTES = 32
SALT_BYTES = 16
MAX_HEADER_CHARACTERS = 256
SECRET_ALLOWED = "32 to 128 characters of A-Z, a-z, 0-9, - and _"
_SECRET_PATTERN = re.compile(r"[A-Za-z0-9_-]{32,128}")
_SCHEME = "bearer "


Holder = TypeVar("Holder", Key, Operator)


class SaltedHash(NamedTuple):
    """Salted hash of a secret; both parts are hexadecimal."""

    salt: str
    digest: str


class Caller(NamedTuple):
    """The account and team that a valid key belongs to."""

    key_name: str
    account: Account
    team: Team


class _Credentials(NamedTuple):
    name: str
    secret: str


# Compared against when no key has the name, so that the time of a check doesn't reveal
# which names exist. No secret is known to have this digest.
_NO_HASH = SaltedHash("00" * SALT_BYTES, "00" * 32)


def create_secret() -> str:
    """Return a new secret of 256 random bits as 43 characters."""
    return secrets.token_urlsafe(SECRET_BYTES)


def create_salt() -> str:
    """Return a new salt of 128 random bits in hexadecimal."""
    return secrets.token_hex(SALT_BYTES)


def hash_secret(secret: str, salt: str) -> SaltedHash:
    """Return the salted hash of ``secret``.

    One round of SHA-256 is enough: a slow hash protects secrets that can be guessed,
    and 256 random bits can't be. It takes a microsecond for each request, whereas a
    slow hash takes tens of milliseconds. The salt keeps equal secrets of two
    environments from being recognized.

    Args:
        secret: the secret.
        salt: salt in hexadecimal.

    Raises:
        ValueError: if the secret is too short or has other characters.

    Example:
        >>> len(hash_secret("x" * 43, "00" * 16).digest)
        64
    """
    if not _SECRET_PATTERN.fullmatch(secret):
        raise ValueError(f"secret must be {SECRET_ALLOWED}; its value is not shown")
    content = bytes.fromhex(salt) + secret.encode("ascii")
    return SaltedHash(salt, hashlib.sha256(content).hexdigest())


def check_key(
    environment: Environment, authorization_header: str | None
) -> Caller | Refused:
    """Return the caller whose key is in the header ``Bearer NAME.SECRET``.

    Args:
        environment: the configuration in force.
        authorization_header: value of ``Authorization``; ``None`` when there is none.
    """
    key = _find_holder(environment.key_by_name, authorization_header)
    if isinstance(key, Refused):
        return key
    account = environment.account_by_name[key.account]
    return Caller(key.name, account, environment.team_by_name[account.team])


def check_operator(
    operator_by_name: Mapping[str, Operator], authorization_header: str | None
) -> Operator | Refused:
    """Return the operator whose key is in the header ``Bearer NAME.SECRET``."""
    return _find_holder(operator_by_name, authorization_header)


def _find_holder(
    holder_by_name: Mapping[str, Holder], header: str | None
) -> Holder | Refused:
    credentials = _read_header(header)
    if isinstance(credentials, Refused):
        return credentials
    holder = holder_by_name.get(credentials.name)
    expected = SaltedHash(holder.salt, holder.digest) if holder else _NO_HASH
    found = hash_secret(credentials.secret, expected.salt)
    is_equal = hmac.compare_digest(found.digest, expected.digest)
    if holder is None or not is_equal:
        # The same refusal for both, so that it doesn't reveal whether the name exists.
        return _refuse(Reason.KEY_UNKNOWN, "the key is unknown or withdrawn")
    return holder


def _read_header(header: str | None) -> _Credentials | Refused:
    if not header:
        detail = "send the header Authorization: Bearer NAME.SECRET"
        return _refuse(Reason.KEY_MISSING, detail)
    if len(header) > MAX_HEADER_CHARACTERS:
        detail = f"Authorization must have at most {MAX_HEADER_CHARACTERS} characters"
        return _refuse(Reason.KEY_MALFORMED, f"{detail}, got {len(header)}")
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return _refuse(Reason.KEY_MALFORMED, "Authorization must start with Bearer")
    name, _, secret = header[len(_SCHEME) :].strip(" ").partition(".")
    if not NAME_PATTERN.fullmatch(name) or not _SECRET_PATTERN.fullmatch(secret):
        detail = f"the key must be NAME.SECRET; NAME: {NAME_ALLOWED}"
        return _refuse(Reason.KEY_MALFORMED, f"{detail}; SECRET: {SECRET_ALLOWED}")
    return _Credentials(name, secret)


def _refuse(reason: Reason, detail: str) -> Refused:
    return Refused(reason, "key-check", detail=detail)
