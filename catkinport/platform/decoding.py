"""Reads fields of the platform's messages and checks their type."""

from collections.abc import Mapping
from typing import Any

from ..policy.resources import Resources

MILLISECONDS_PER_SECOND = 1000.0

MAX_NUMBER = 2**63
"""Upper bound of every number. JSON allows numbers that can't be converted to others,
and Python's decoder also accepts infinity."""

MAX_SHOWN_CHARACTERS = 80
"""Most characters of a malformed value that an error shows."""


class MessageError(ValueError):
    """A field of a message is missing or has a value that is not allowed."""


def string(message: Mapping[str, Any], field: str, default: str | None = None) -> str:
    """Return a string.

    Raises:
        MessageError: if it is missing without a default, or not a string.
    """
    return check_string(message.get(field, default), field)


def mapping(value: Any, name: str) -> Mapping[str, Any]:
    """Return a value that must be an object.

    Args:
        value: the value.
        name: what it is, for the error.

    Raises:
        MessageError: if it is not an object.
    """
    if not isinstance(value, dict):
        raise MessageError(f"{name} must be an object, got {_shorten(value)}")
    return value


def check_string(value: Any, name: str) -> str:
    """Return a value that must be a string; ``name`` says what it is.

    Raises:
        MessageError: if it is not a string.
    """
    if not isinstance(value, str):
        raise MessageError(f"{name} must be a string, got {_shorten(value)}")
    return value


def short_string(
    message: Mapping[str, Any], field: str, max_bytes: int, min_bytes: int = 0
) -> str:
    """Return a string that other messages and rows can hold.

    Args:
        message: the message.
        field: name of the field.
        max_bytes: most bytes of it as UTF-8.
        min_bytes: fewest bytes.

    Raises:
        MessageError: if it is missing, not a string, not text, too long or too short.
    """
    return check_short_string(message.get(field), field, max_bytes, min_bytes)


def check_short_string(
    value: Any, name: str, max_bytes: int, min_bytes: int = 0
) -> str:
    """Return a value that must be a string as `short_string` has it.

    Raises:
        MessageError: if it is not.
    """
    text = check_string(value, name)
    try:
        n_bytes = len(text.encode())
    except UnicodeEncodeError as error:
        raise MessageError(f"{name} must be text, got {_shorten(text)}") from error
    if not min_bytes <= n_bytes <= max_bytes:
        raise MessageError(
            f"{name} must have {min_bytes} to {max_bytes} bytes, got {n_bytes}"
        )
    return text


def check_number(value: Any, name: str) -> float:
    """Return a value that must be a number and not negative.

    Raises:
        MessageError: if it is negative, larger than `MAX_NUMBER`, or not a number.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_NUMBER:
        raise MessageError(
            f"{name} must be a number from 0 to {MAX_NUMBER}, got {_shorten(value)}"
        )
    return value


def check_integer(value: Any, name: str) -> int:
    """Return a value that must be a whole number and not negative.

    Raises:
        MessageError: if it is not a number as `check_number` has it, or not whole.
    """
    checked = check_number(value, name)
    if checked != int(checked):
        raise MessageError(f"{name} must be a whole number, got {value!r}")
    return int(checked)


def number(
    message: Mapping[str, Any], field: str, default: float | None = None
) -> float:
    """Return a number that is not negative.

    Raises:
        MessageError: if it is missing without a default, negative, larger than
            `MAX_NUMBER`, or not a number.
    """
    return check_number(message.get(field, default), field)


def integer(message: Mapping[str, Any], field: str, default: int | None = None) -> int:
    """Return a whole number that is not negative.

    Raises:
        MessageError: if it is missing without a default, negative, or not an
            integer.
    """
    return check_integer(message.get(field, default), field)


def boolean(message: Mapping[str, Any], field: str) -> bool:
    """Return a boolean; a missing one is false.

    Raises:
        MessageError: if it is neither true nor false.
    """
    value = message.get(field, False)
    if not isinstance(value, bool):
        raise MessageError(f"{field} must be true or false, got {_shorten(value)}")
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
    return _list_of(
        dict, message.get(field) or [], f"{field} must be a list of objects"
    )


def required_objects(message: Mapping[str, Any], field: str) -> list[Mapping[str, Any]]:
    """Return a list of objects that must be there, though it may be empty.

    Raises:
        MessageError: if it is missing or not a list of objects.
    """
    return _list_of(dict, message.get(field), f"{field} must be a list of objects")


def lists(message: Mapping[str, Any], field: str) -> list[list[Any]]:
    """Return a list of lists; a missing one is empty.

    Raises:
        MessageError: if it is not a list of lists.
    """
    return _list_of(list, message.get(field) or [], f"{field} must be a list of lists")


def strings(message: Mapping[str, Any], field: str) -> tuple[str, ...]:
    """Return a list of strings; a missing one is empty.

    Raises:
        MessageError: if it is not a list of strings.
    """
    value = message.get(field) or []
    return tuple(_list_of(str, value, f"{field} must be a list of strings"))


def _list_of(kind: type, value: Any, requirement: str) -> list[Any]:
    if not isinstance(value, list) or not all(isinstance(v, kind) for v in value):
        raise MessageError(f"{requirement}, got {_shorten(value)}")
    return value


def _shorten(value: Any) -> str:
    """Return a value as text for an error."""
    try:
        return repr(value)[:MAX_SHOWN_CHARACTERS]
    except ValueError:
        # Python does not convert integers with thousands of digits to text.
        return f"a {type(value).__name__}"
