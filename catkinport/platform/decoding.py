"""Reads fields of the platform's messages and checks their type."""

from collections.abc import Mapping
from typing import Any

from ..policy.resources import Resources

MILLISECONDS_PER_SECOND = 1000.0

MAX_NUMBER = 2**63
"""Upper bound of every number. JSON allows numbers that can't be converted to others,
and Python's decoder also accepts infinity."""


class MessageError(ValueError):
    """A field of a message is missing or has a value that is not allowed."""


def string(message: Mapping[str, Any], field: str, default: str | None = None) -> str:
    """Return a string.

    Raises:
        MessageError: if it is missing without a default, or not a string.
    """
    value = message.get(field, default)
    if not isinstance(value, str):
        raise MessageError(f"{field} must be a string, got {value!r:.80}")
    return value


def number(
    message: Mapping[str, Any], field: str, default: float | None = None
) -> float:
    """Return a number that is not negative.

    Raises:
        MessageError: if it is missing without a default, negative, larger than
            `MAX_NUMBER`, or not a number.
    """
    value = message.get(field, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_NUMBER:
        raise MessageError(
            f"{field} must be a number from 0 to {MAX_NUMBER}, got {value!r:.80}"
        )
    return value


def integer(message: Mapping[str, Any], field: str, default: int | None = None) -> int:
    """Return a whole number that is not negative.

    Raises:
        MessageError: if it is missing without a default, negative, or not an
            integer.
    """
    value = number(message, field, default)
    if value != int(value):
        raise MessageError(f"{field} must be a whole number, got {value!r}")
    return int(value)


def boolean(message: Mapping[str, Any], field: str) -> bool:
    """Return a boolean; a missing one is false.

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
    """Return in seconds what the message holds in milliseconds.

    Args:
        message: the message.
        field: name of the field.
        default: value in seconds if the field is missing.

    Raises:
        MessageError: if it is missing without a default, negative, or not a number.
    """
    scaled = None if default is None else default * MILLISECONDS_PER_SECOND
    return number(message, field, scaled) / MILLISECONDS_PER_SECOND


def resources(message: Mapping[str, Any]) -> Resources:
    """Return an amount of resources, sent in thousandths of a core and in MB.

    Raises:
        MessageError: if an amount is negative or not a number.
    """
    return Resources(
        number(message, "Cpu", 0) / 1000,
        number(message, "MemMb", 0) / 1024,
        number(message, "Gpu", 0),
    )


def objects(message: Mapping[str, Any], field: str) -> list[Mapping[str, Any]]:
    """Return a list of objects; a missing one is empty.

    Raises:
        MessageError: if it is not a list of objects.
    """
    value = message.get(field) or []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise MessageError(f"{field} must be a list of objects, got {value!r:.80}")
    return value


def strings(message: Mapping[str, Any], field: str) -> tuple[str, ...]:
    """Return a list of strings; a missing one is empty.

    Raises:
        MessageError: if it is not a list of strings.
    """
    value = message.get(field) or []
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise MessageError(f"{field} must be a list of strings, got {value!r:.80}")
    return tuple(value)
