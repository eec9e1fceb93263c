"""Declarations of sections and options, and the parsing of option values."""

import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_ALLOWED = "1 to 63 characters of a-z, 0-9 and -, not starting with -"
# int() and float() would also accept underscores, non-ASCII digits, "inf" and "nan".
_WHOLE_PATTERN = re.compile(r"-?[0-9]{1,15}")
_NUMBER_PATTERN = re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,15})?")
_BOOLEAN_BY_TEXT = {"true": True, "yes": True, "false": False, "no": False}
_MAX_SHOWN_CHARACTERS = 80
HIDDEN = "(hidden)"


class Option(NamedTuple):
    """An option of a section.

    Args:
        name: name of the option.
        kind: type of the value, the name of a registered reader such as ``whole``.
        doc: one line for the reference page.
        default: text used when the option is left out; ``None`` if it is required.
        low: lowest number, or lowest number of characters of a text.
        high: highest number, or highest number of characters of a text.
        choices: allowed texts of an option of kind ``choice``.
        unit: unit of a number.
        refers_to: kind of the section that the value must name.
        is_hidden: whether the value is a secret that no message may show.
    """

    name: str
    kind: str
    doc: str
    default: str | None = None
    low: float = 0
    high: float = 0
    choices: tuple[str, ...] = ()
    unit: str = ""
    refers_to: str = ""
    is_hidden: bool = False


class SectionDeclaration(NamedTuple):
    """A kind of section.

    Args:
        kind: first word of the header.
        doc: one line for the reference page.
        options: the options.
        is_named: whether the header carries a name, as in ``[team blue]``.
        is_required: whether a file without such a section is rejected.
        max_count: how many sections of this kind a file may hold.
    """

    kind: str
    doc: str
    options: tuple[Option, ...]
    is_named: bool = False
    is_required: bool = False
    max_count: int = 1


class Fault(NamedTuple):
    """An error in a settings file or document.

    Args:
        section: header without brackets; empty outside of any section.
        option: name of the option; empty when the fault is not about one option.
        line: number of the line, from 1; 0 when the fault belongs to no line.
        value: the value found, shortened, or a note that it is hidden.
        allowed: what is allowed there.
        message: what is wrong.
    """

    section: str
    option: str
    line: int
    value: str
    allowed: str
    message: str


Reader = Callable[[Option, str], Any]
_reader_by_kind: dict[str, Reader] = {}
_describe_by_kind: dict[str, Callable[[Option], str]] = {}


def _register(kind: str, describe: Callable[[Option], str]) -> Callable:
    def register(reader: Reader) -> Reader:
        _reader_by_kind[kind] = reader
        _describe_by_kind[kind] = describe
        return reader

    return register


def read_value(option: Option, text: str) -> Any:
    """Return the typed value of ``text``.

    Raises:
        ValueError: if the text is not allowed.

    Example:
        >>> read_value(Option("slots", "whole", "Slots.", low=1, high=64), "8")
        8
    """
    return _reader_by_kind[option.kind](option, text)


def describe_allowed(option: Option) -> str:
    """Return a text that says which values ``option`` allows.

    Messages and the reference page show it.

    Example:
        >>> describe_allowed(Option("slots", "whole", "Slots.", low=1, high=64))
        'whole number from 1 to 64'
    """
    return _describe_by_kind[option.kind](option)


def shorten(value: str) -> str:
    """Return ``value`` for a message: cut to 80 characters, in printable ASCII."""
    shown = value.encode("ascii", "backslashreplace").decode()
    shown = "".join(char if char.isprintable() else repr(char)[1:-1] for char in shown)
    if len(shown) <= _MAX_SHOWN_CHARACTERS:
        return shown
    return shown[:_MAX_SHOWN_CHARACTERS] + "..."


def format_fault(fault: Fault) -> str:
    """Return a message of one line that describes ``fault``.

    Example:
        >>> fault = Fault("team a", "weight", 3, "-1", "number from 0.1", "bad value")
        >>> format_fault(fault)
        'line 3: [team a] weight: bad value; got "-1"; allowed: number from 0.1'
    """
    parts = [f"line {fault.line}:"] if fault.line else []
    if fault.section:
        parts.append(f"[{fault.section}]")
    if fault.option:
        parts.append(fault.option + ":")
    text = " ".join([*parts, fault.message])
    if fault.value:
        text += f'; got "{fault.value}"'
    if fault.allowed:
        text += f"; allowed: {fault.allowed}"
    return text


def declarations_by_kind(
    declarations: tuple[SectionDeclaration, ...],
) -> Mapping[str, SectionDeclaration]:
    """Return the declarations by the kind of their section."""
    return {declaration.kind: declaration for declaration in declarations}


def _check_range(option: Option, number: float) -> None:
    if not option.low <= number <= option.high:
        raise ValueError("out of range")


def _describe_whole(option: Option) -> str:
    unit = f" {option.unit}" if option.unit else ""
    return f"whole number from {option.low} to {option.high}{unit}"


@_register("whole", _describe_whole)
def _read_whole(option: Option, text: str) -> int:
    if not _WHOLE_PATTERN.fullmatch(text):
        raise ValueError("not a whole number")
    number = int(text)
    _check_range(option, number)
    return number


def _describe_number(option: Option) -> str:
    unit = f" {option.unit}" if option.unit else ""
    return f"number from {option.low} to {option.high}{unit}"


@_register("number", _describe_number)
def _read_number(option: Option, text: str) -> float:
    if not _NUMBER_PATTERN.fullmatch(text):
        raise ValueError("not a number")
    number = float(text)
    _check_range(option, number)
    return number


@_register("boolean", lambda option: "true, yes, false or no")
def _read_boolean(option: Option, text: str) -> bool:
    if text not in _BOOLEAN_BY_TEXT:
        raise ValueError("neither true nor false")
    return _BOOLEAN_BY_TEXT[text]


@_register("choice", lambda option: " or ".join(option.choices))
def _read_choice(option: Option, text: str) -> str:
    if text not in option.choices:
        raise ValueError("not one of the choices")
    return text


def _describe_name(option: Option) -> str:
    if option.refers_to:
        return f"name of a [{option.refers_to}] section"
    return NAME_ALLOWED


@_register("name", _describe_name)
def _read_name(option: Option, text: str) -> str:
    if text == option.default:
        return text
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("not a name")
    return text


@_register(
    "names",
    lambda option: f"names of [{option.refers_to}] sections, separated by commas",
)
def _read_names(option: Option, text: str) -> tuple[str, ...]:
    names = tuple(name.strip() for name in text.split(",")) if text else ()
    if not all(NAME_PATTERN.fullmatch(name) for name in names):
        raise ValueError("not a list of names separated by commas")
    if len(set(names)) < len(names):
        raise ValueError("a name occurs twice")
    return names


@_register("text", lambda option: f"{option.low} to {option.high} characters")
def _read_text(option: Option, text: str) -> str:
    _check_range(option, len(text))
    return text


@_register("hex", lambda option: f"{option.high} hexadecimal digits, lower case")
def _read_hex(option: Option, text: str) -> str:
    if text == option.default:
        return text
    if not re.fullmatch(rf"[0-9a-f]{{{option.high}}}", text):
        raise ValueError("not hexadecimal digits of the required length")
    return text


@_register("ip", lambda option: "IP address")
def _read_ip(option: Option, text: str) -> str:
    if text == option.default:
        return text
    ipaddress.ip_address(text)
    return text


@_register("address", lambda option: "host:port with a port from 1 to 65535")
def _read_address(option: Option, text: str) -> str:
    host, _, port = text.rpartition(":")
    if not re.fullmatch(r"[A-Za-z0-9.\-]{1,253}|\[[0-9a-fA-F:.]{2,45}\]", host):
        raise ValueError("not host:port")
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 1 <= int(port) <= 65535:
        raise ValueError("not a port")
    return text
