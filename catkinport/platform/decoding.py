"""Reads fields of the platform's messages and checks their type."""

from collections.abc import Mapping
from typing import Any

from ..policy.resources import Resources

MILLISECONDS = 1000.0


class MessageError(ValueError):
    """A message lacks a field or holds one of another type."""


def text(message: Mapping[str, Any], field: str, default: str | None = None) -> str:
    """Return a text field.

    Raises:
        MessageError: if it is missing without a default, or no text.
    """
    value = message.get(field, default)
    if not isinstance(value, str):
        raise MessageError(f"{field} must be a text, got {value!r:.80}")
    return value


def number(
    message: Mapping[str, Any], field: str, default: float | None = None
) -> float:
    """Return a number that is not negative.

    Raises:
        MessageError: if it is missing without a default, negative, or no number.
    """
    value = message.get(field, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not value >= 0:
        raise MessageError(f"{field} must be a number >= 0, got {value!r:.80}")
    return value


def whole(message: Mapping[str, Any], field: str, default: int | None = None) -> int:
    """Return a whole number that is not negative.

    Raises:
        MessageError: if it is missing without a default, negative, or not whole.
    """
    value = number(message, field, default)
    if value != int(value):
        raise MessageError(f"{field} must be a whole number, got {value!r}")
    return int(value)


def flag(message: Mapping[str, Any], field: str) -> bool:
    """Return a truth value; a missing one is false.

    Raises:
        MessageError: if it is neither true nor false.
    """
    value = message.get(field, False)
    if not isinstance(value, bool):
        raise MessageError(f"{field} must be true or false, got {value!r:.80}")
    return value


def seconds(
    message: Mapping[str, Any], field: str, default: float | None = None
) -> float:
    """Return a field in milliseconds as seconds.

    Raises:
        MessageError: as `number`.
    """
    scaled = None if default is None else default * MILLISECONDS
    return number(message, field, scaled) / MILLISECONDS


def resources(message: Mapping[str, Any]) -> Resources:
    """Return an amount of resources, sent in thousandths of a core and in MB.

    Raises:
        MessageError: if an amount is negative or no number.
    """
    return Resources(
        number(message, "Cpu", 0) / 1000,
        number(message, "MemMb", 0) / 1024,
        number(message, "Gpu", 0),
    )


def objects(message: Mapping[str, Any], field: str) -> list[Mapping[str, Any]]:
    """Return a list of objects; a missing one is empty.

    Raises:
        MessageError: if it is no list of objects.
    """
    value = message.get(field) or []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise MessageError(f"{field} must be a list of objects, got {value!r:.80}")
    return value


def texts(message: Mapping[str, Any], field: str) -> tuple[str, ...]:
    """Return a list of texts; a missing one is empty.

    Raises:
        MessageError: if it is no list of texts.
    """
    value = message.get(field) or []
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise MessageError(f"{field} must be a list of texts, got {value!r:.80}")
    return tuple(value)
