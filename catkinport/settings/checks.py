"""Validation of scanned sections against their declarations."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from .declaration import (
    HIDDEN,
    Fault,
    Option,
    SectionDeclaration,
    declarations_by_kind,
    describe_allowed,
    read_value,
    shorten,
)
from .ini import MAX_FAULTS, Section, scan_text


class CheckedSection(NamedTuple):
    """A section with typed values; an invalid option has none.

    Args:
        section: the section as it was scanned.
        value_by_option: values of all valid options, defaults included.
    """

    section: Section
    value_by_option: Mapping[str, Any]

    def fault(self, option: str, allowed: str, message: str) -> Fault:
        """Return a fault of ``option`` with the line and value found for it."""
        entry = self.section.entry_by_option.get(option)
        line = entry.line if entry else self.section.line
        value = shorten(entry.value) if entry else ""
        return Fault(self.section.title, option, line, value, allowed, message)


class CheckedFile(NamedTuple):
    """Checked sections by kind, then by name, and the faults found in them."""

    section_by_name_by_kind: Mapping[str, Mapping[str, CheckedSection]]
    faults: list[Fault]


def check_text(text: str, declarations: tuple[SectionDeclaration, ...]) -> CheckedFile:
    """Scan ``text`` and check each section on its own; never raises.

    Rules that involve several sections are left to the caller.
    """
    scanned = scan_text(text)
    faults = list(scanned.faults)
    by_kind = declarations_by_kind(declarations)
    checked: dict[str, dict[str, CheckedSection]] = {kind: {} for kind in by_kind}
    for section in scanned.sections:
        declaration = by_kind.get(section.kind)
        header_fault = _check_header(section, declaration, tuple(by_kind))
        if header_fault is not None or declaration is None:
            faults.extend([header_fault] if header_fault else [])
            continue
        values = _check_options(section, declaration, faults)
        checked[section.kind][section.name] = CheckedSection(section, values)
    for declaration in declarations:
        found = checked[declaration.kind]
        faults.extend(_check_count(declaration, len(found)))
        if not declaration.is_named and not declaration.is_required and not found:
            found[""] = _default_section(declaration)
    return CheckedFile(checked, faults)


def limit_faults(faults: list[Fault]) -> list[Fault]:
    """Return the faults in order of their lines, at most ``MAX_FAULTS`` of them.

    A last fault says that others were left out.
    """
    ordered = sorted(faults, key=lambda fault: fault.line)
    if len(ordered) < MAX_FAULTS:
        return ordered
    note = f"there are more faults; the first {MAX_FAULTS} are shown"
    return [*ordered[:MAX_FAULTS], Fault("", "", 0, "", "", note)]


def _check_header(
    section: Section, declaration: SectionDeclaration | None, kinds: tuple[str, ...]
) -> Fault | None:
    def fault(allowed: str, message: str) -> Fault:
        return Fault(section.title, "", section.line, "", allowed, message)

    if declaration is None:
        return fault(", ".join(kinds), "the section is unknown")
    if declaration.is_named and not section.name:
        return fault(f"[{section.kind} NAME]", "the section needs a name")
    if section.name and not declaration.is_named:
        return fault(f"[{section.kind}]", "the section takes no name")
    return None


def _check_options(
    section: Section, declaration: SectionDeclaration, faults: list[Fault]
) -> dict[str, Any]:
    option_by_name = {option.name: option for option in declaration.options}
    has_hidden = any(option.is_hidden for option in declaration.options)
    for name, entry in section.entry_by_option.items():
        if name not in option_by_name:
            value = HIDDEN if has_hidden else shorten(entry.value)
            allowed = ", ".join(option_by_name)
            message = "the option is unknown"
            faults.append(
                Fault(section.title, name, entry.line, value, allowed, message)
            )
    values = {}
    for option in declaration.options:
        outcome = _check_option(section, option)
        if isinstance(outcome, Fault):
            faults.append(outcome)
        else:
            values[option.name] = outcome
    return values


def _check_option(section: Section, option: Option) -> Any:
    entry = section.entry_by_option.get(option.name)
    text = entry.value if entry else option.default
    line = entry.line if entry else section.line
    allowed = describe_allowed(option)
    if text is None:
        message = "the option is missing"
        return Fault(section.title, option.name, line, "", allowed, message)
    try:
        return read_value(option, text)
    except ValueError:
        shown = HIDDEN if option.is_hidden else shorten(text)
        message = "the value is not allowed"
        return Fault(section.title, option.name, line, shown, allowed, message)


def _check_count(declaration: SectionDeclaration, count: int) -> list[Fault]:
    kind = declaration.kind
    if declaration.is_required and count == 0:
        header = f"[{kind} NAME]" if declaration.is_named else f"[{kind}]"
        allowed = f"at least one {header}" if declaration.is_named else header
        return [Fault(kind, "", 0, "", allowed, "the section is missing")]
    if count > declaration.max_count:
        allowed = f"at most {declaration.max_count} sections of this kind"
        return [Fault(kind, "", 0, str(count), allowed, "there are too many sections")]
    return []


def _default_section(declaration: SectionDeclaration) -> CheckedSection:
    values = {
        option.name: read_value(option, option.default)
        for option in declaration.options
        if option.default is not None
    }
    return CheckedSection(Section(declaration.kind, "", 0, {}), values)
