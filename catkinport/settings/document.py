"""Parsing and validation of an environment's document, with rules across sections."""

from collections.abc import Iterator, Mapping
from typing import Any

from .checks import CheckedFile, CheckedSection, check_text, limit_faults
from .declaration import (
    Fault,
    declarations_by_kind,
    describe_allowed,
    format_fault,
)
from .document_declaration import DOCUMENT_DECLARATIONS
from .environment import (
    Account,
    Environment,
    Key,
    Maintenance,
    Operator,
    Pool,
    Queue,
    Service,
    Team,
)


def parse_document(text: str) -> Environment | list[Fault]:
    r"""Return the environment that ``text`` describes, or all its faults.

    Args:
        text: the INI document.

    Returns:
        The environment, or the faults in order of their lines. No text makes it
        raise.

    Example:
        >>> faults = parse_document("[catkinport]\nformat = 2\n")
        >>> [(fault.line, fault.option, fault.allowed) for fault in faults][-1]
        (2, 'format', 'whole number from 1 to 1')
    """
    checked = check_text(text, DOCUMENT_DECLARATIONS)
    faults = [*checked.faults, *_check_between_sections(checked)]
    if faults:
        return limit_faults(faults)
    return _build_environment(checked.section_by_name_by_kind)


def parse_accepted_document(document: str) -> Environment:
    """Return the environment of a document that was valid when it was accepted.

    Raises:
        ValueError: if the document is invalid in this version of the program.
    """
    parsed = parse_document(document)
    if isinstance(parsed, list):
        raise ValueError("; ".join(format_fault(fault) for fault in parsed))
    return parsed


def _check_between_sections(checked: CheckedFile) -> Iterator[Fault]:
    by_kind = checked.section_by_name_by_kind
    yield from _check_references(by_kind)
    for queue in by_kind["queue"].values():
        yield from _check_queue(queue)
    yield from _check_spare_pool(by_kind["pool"])
    yield from _check_limits(by_kind)


def _check_references(
    by_kind: Mapping[str, Mapping[str, CheckedSection]],
) -> Iterator[Fault]:
    for kind, declaration in declarations_by_kind(DOCUMENT_DECLARATIONS).items():
        reference_options = [o for o in declaration.options if o.refers_to]
        for section in by_kind[kind].values():
            for option in reference_options:
                value = section.value_by_option.get(option.name, ())
                names = value if isinstance(value, tuple) else (value,)
                missing = [n for n in names if n and n not in by_kind[option.refers_to]]
                if missing:
                    message = f"there is no [{option.refers_to} {missing[0]}]"
                    yield section.fault(option.name, describe_allowed(option), message)


def _check_queue(queue: CheckedSection) -> Iterator[Fault]:
    values = queue.value_by_option
    if values.get("service") == "" and values.get("pool") == "":
        allowed = "a service, a pool or both"
        yield queue.fault(
            "service", allowed, "the queue has neither a service nor a pool"
        )
    open_team = values.get("open_team")
    is_open = values.get("access") == "open"
    if is_open and open_team == "":
        allowed = "name of a [team] section"
        yield queue.fault("open_team", allowed, "an open queue needs an open_team")
    if values.get("access") == "keyed" and open_team:
        yield queue.fault("open_team", "empty", "a keyed queue takes no open_team")
    teams = values.get("teams")
    if is_open and teams and open_team and open_team not in teams:
        allowed = "one of teams: " + ", ".join(teams)
        yield queue.fault("open_team", allowed, "the team may not use the queue")


def _check_spare_pool(pools: Mapping[str, CheckedSection]) -> Iterator[Fault]:
    # A pool whose option spare is invalid may be meant as the spare pool; the invalid
    # value is a fault of its own.
    if pools and not any(p.value_by_option.get("spare", True) for p in pools.values()):
        allowed = "spare = yes in at least one pool"
        yield Fault("pool", "spare", 0, "", allowed, "there is no spare pool")


def _check_limits(
    by_kind: Mapping[str, Mapping[str, CheckedSection]],
) -> Iterator[Fault]:
    if "" not in by_kind["limits"]:
        return
    limits = by_kind["limits"][""]
    for option in ("max_slots", "max_cores"):
        bound = limits.value_by_option.get(f"{option}_per_team")
        for team in by_kind["team"].values():
            value = team.value_by_option.get(option)
            if bound is not None and value is not None and value > bound:
                allowed = f"at most {bound}, see {option}_per_team in [limits]"
                yield team.fault(option, allowed, "the value is above the limit")
    bound = limits.value_by_option.get("max_reserved_vms")
    reserved = sum(
        pool.value_by_option.get("min_vms", 0) for pool in by_kind["pool"].values()
    )
    if bound is not None and reserved > bound:
        message = f"the sum of min_vms over all pools is {reserved}"
        allowed = f"max_reserved_vms of at least {reserved}, or a smaller sum"
        yield limits.fault("max_reserved_vms", allowed, message)


def _build_environment(
    by_kind: Mapping[str, Mapping[str, CheckedSection]],
) -> Environment:
    values_by_kind = {
        kind: {name: section.value_by_option for name, section in sections.items()}
        for kind, sections in by_kind.items()
    }
    accounts = {
        name: Account(name, values["team"])
        for name, values in values_by_kind["account"].items()
    }
    return Environment(
        {n: Team(n, **values) for n, values in values_by_kind["team"].items()},
        accounts,
        {
            name: Key(name, team=accounts[values["account"]].team, **values)
            for name, values in values_by_kind["key"].items()
        },
        {n: Operator(n, **values) for n, values in values_by_kind["operator"].items()},
        {n: _build_service(n, v) for n, v in values_by_kind["service"].items()},
        {n: _build_queue(n, v) for n, v in values_by_kind["queue"].items()},
        {n: _build_pool(n, v) for n, v in values_by_kind["pool"].items()},
        Maintenance(**values_by_kind["maintenance"][""]),
    )


def _build_service(name: str, values: Mapping[str, Any]) -> Service:
    return Service(
        name,
        pool=values["pool"],
        n_slots=values["slots"],
        n_connections=values["connections"],
        max_request_seconds=values["max_request_seconds"],
        max_waiting=values["max_waiting"],
        progress_seconds=values["progress_seconds"],
    )


def _build_queue(name: str, values: Mapping[str, Any]) -> Queue:
    return Queue(
        name,
        is_open=values["access"] == "open",
        is_urgent=values["priority"] == "urgent",
        service=values["service"],
        pool=values["pool"],
        teams=values["teams"],
        open_team=values["open_team"],
    )


def _build_pool(name: str, values: Mapping[str, Any]) -> Pool:
    return Pool(
        name,
        max_unavailable=values["max_unavailable"],
        is_spare=values["spare"],
        min_vms=values["min_vms"],
    )
