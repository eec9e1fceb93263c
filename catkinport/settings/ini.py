"""A scanner of INI text that records the line of every section and option.

The standard library's configparser stops at the first duplicate and keeps no line
numbers, so it can't report every fault at once. A file without faults has the same
values in both.
"""

import re
from typing import NamedTuple

from .declaration import HIDDEN, NAME_ALLOWED, NAME_PATTERN, Fault, shorten

MAX_BYTES = 1024 * 1024
MAX_LINE_CHARACTERS = 4096
# Without this limit, the faults of a file of random lines would take more space than
# the file itself.
MAX_FAULTS = 200
_KIND_PATTERN = re.compile(r"[a-z]+")
_OPTION_PATTERN = re.compile(r"([a-z][a-z0-9_]*)\s*=\s*(.*)")
_CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x85\u2028\u2029\ud800-\udfff]")
# Sections into which an operator may paste a secret by mistake; faults of their lines
# don't show the value.
_SECRET_KINDS = ("key", "operator", "cluster", "bootstrap")


class Entry(NamedTuple):
    """An option with its unparsed value and the number of its line."""

    option: str
    value: str
    line: int


class Section(NamedTuple):
    """A section as it was scanned; ``name`` is empty for a header of one word."""

    kind: str
    name: str
    line: int
    entry_by_option: dict[str, Entry]

    @property
    def title(self) -> str:
        """The header without brackets."""
        return f"{self.kind} {self.name}" if self.name else self.kind


class ScannedText(NamedTuple):
    """Sections in order of their lines, and the faults found while scanning."""

    sections: list[Section]
    faults: list[Fault]


def split_lines(text: str) -> list[str]:
    """Split ``text`` at line feeds only, the way line numbers are counted here."""
    return [line.removesuffix("\r") for line in text.split("\n")]


def scan_text(text: str) -> ScannedText:
    r"""Return the sections and faults of ``text``; never raises.

    Example:
        >>> scan_text("[team blue]\nweight = 2\n").sections[0].title
        'team blue'
    """
    n_bytes = len(text.encode("utf-8", "surrogatepass"))
    if n_bytes > MAX_BYTES:
        allowed = f"at most {MAX_BYTES} bytes"
        fault = Fault("", "", 0, str(n_bytes), allowed, "the text is too large")
        return ScannedText([], [fault])
    scanner = _Scanner()
    for number, line in enumerate(split_lines(text), start=1):
        scanner.read_line(number, line)
    return ScannedText(scanner.sections, scanner.faults)


class _Scanner:
    def __init__(self) -> None:
        self.sections: list[Section] = []
        self.faults: list[Fault] = []
        self._line_by_title: dict[str, int] = {}
        self._current: Section | None = None

    def read_line(self, number: int, line: str) -> None:
        if len(line) > MAX_LINE_CHARACTERS:
            allowed = f"at most {MAX_LINE_CHARACTERS} characters"
            self._report(number, "", str(len(line)), allowed, "the line is too long")
            return
        if _CONTROL_PATTERN.search(line):
            allowed = "printable characters and tabs"
            self._report(number, "", line, allowed, "a character is not allowed")
            return
        stripped = line.strip()
        if not stripped or stripped[0] in "#;":
            return
        if line[0] in " \t":
            allowed = "a line that starts at the left margin"
            self._report(number, "", line, allowed, "the line is indented")
        elif line[0] == "[":
            self._read_header(number, stripped)
        else:
            self._read_option(number, stripped)

    def _read_header(self, number: int, line: str) -> None:
        self._current = None
        kind, _, name = line[1:-1].strip().partition(" ")
        name = name.strip()
        if line[-1] != "]" or not _KIND_PATTERN.fullmatch(kind):
            self._current = Section("", "", number, {})
            allowed = "[kind] or [kind name]"
            self._report(number, "", line, allowed, "the header is malformed")
            return
        section = Section(kind, shorten(name), number, {})
        self._current = section
        if name and not NAME_PATTERN.fullmatch(name):
            self._report(number, "", name, NAME_ALLOWED, "the name is not allowed")
            return
        first_line = self._line_by_title.setdefault(section.title, number)
        if first_line != number:
            message = f"the section occurs twice, first on line {first_line}"
            self._report(number, "", "", "one section of each name", message)
            return
        self.sections.append(section)

    def _read_option(self, number: int, line: str) -> None:
        match = _OPTION_PATTERN.fullmatch(line)
        if match is None:
            allowed = "option = value, the option of a-z, 0-9 and _"
            self._report(number, "", line, allowed, "the line is malformed")
            return
        option, value = match[1], match[2]
        if self._current is None:
            allowed = "options after a section header"
            self._report(
                number, option, HIDDEN, allowed, "the option is outside of any section"
            )
            return
        entry_by_option = self._current.entry_by_option
        first = entry_by_option.setdefault(option, Entry(option, value, number))
        if first.line != number:
            message = f"the option occurs twice, first on line {first.line}"
            self._report(number, option, value, "one value", message)

    def _report(
        self, line: int, option: str, value: str, allowed: str, message: str
    ) -> None:
        if len(self.faults) >= MAX_FAULTS:
            return
        kind = self._current.kind if self._current else ""
        title = self._current.title if self._current else ""
        shown = HIDDEN if value and kind in _SECRET_KINDS else shorten(value)
        self.faults.append(Fault(title, shorten(option), line, shown, allowed, message))
