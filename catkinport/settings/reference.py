"""Generator of docs/configuration.md from the declarations.

Run ``python -m catkinport.settings.reference docs/configuration.md``.
"""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from .declaration import NAME_ALLOWED, Option, SectionDeclaration, describe_allowed
from .document_declaration import DOCUMENT_DECLARATIONS
from .ini import MAX_BYTES, MAX_LINE_CHARACTERS
from .process_declaration import (
    COMMON_DECLARATIONS,
    CONTROLLER_DECLARATION,
    ENTRY_DECLARATION,
)

_INTRODUCTION = f"""\
# Configuration

This page is generated from the declarations in `catkinport/settings/`; run
`python -m catkinport.settings.reference docs/configuration.md` after a change of them.

Both kinds of file are INI text in UTF-8, at most {MAX_BYTES} bytes, with lines of at
most {MAX_LINE_CHARACTERS} characters. A line is blank, a comment that starts with `#`
or `;`, a header `[kind]` or `[kind name]`, or `option = value`. Values are not quoted,
a comment has a line of its own, and no line is indented or continued. A name has
{NAME_ALLOWED}.

A section or option that occurs twice or is not listed here is a fault. All faults are
reported at once, each with its section, option, line, value and allowed range.
"""

_DOCUMENT = """\
## The environment's document

One document describes an environment: the same bytes are tested in the trial
environment and promoted to production. It is applied through the administration API,
see [administration.md](administration.md); [an example](../examples/environment.ini) is
commented. Besides the ranges below, these rules hold for the whole document:

* every name that an option refers to has its section;
* at least one pool is a spare pool;
* a queue has a service, a pool or both;
* an open queue has an `open_team`, which is one of its `teams` if these are given; a
  keyed queue has none;
* no team's `max_slots` or `max_cores` is above its bound in `[limits]`, and neither is
  the sum of `min_vms`.
"""

_PROCESS = """\
## The settings of a process

Each daemon reads one file of its own. Entry settings take the section `[entry]`,
controller settings the section `[controller]`; all other sections are common to both.
See [entry.ini](../examples/entry.ini) and [controller.ini](../examples/controller.ini).
"""


def render_reference() -> str:
    """Return the text of the reference page."""
    daemon_declarations = (ENTRY_DECLARATION, CONTROLLER_DECLARATION)
    parts = [_INTRODUCTION, _DOCUMENT]
    parts.extend(_render_sections(DOCUMENT_DECLARATIONS))
    parts.append(_PROCESS)
    parts.extend(_render_sections((*COMMON_DECLARATIONS, *daemon_declarations)))
    return "\n".join(parts)


def _render_sections(declarations: Sequence[SectionDeclaration]) -> Iterator[str]:
    for declaration in declarations:
        name = " NAME" if declaration.is_named else ""
        lines = [f"### `[{declaration.kind}{name}]`", "", declaration.doc]
        if declaration.is_named:
            lines[-1] += f" At most {declaration.max_count}."
        elif declaration.is_required:
            lines[-1] += " Required."
        lines += ["", "| option | allowed | default | meaning |", "|---|---|---|---|"]
        lines += [_render_option(option) for option in declaration.options]
        yield "\n".join(lines) + "\n"


def _render_option(option: Option) -> str:
    default = "required" if option.default is None else f"`{option.default}`"
    if option.default == "":
        default = "empty"
    allowed = describe_allowed(option)
    return f"| `{option.name}` | {allowed} | {default} | {option.doc} |"


def main() -> None:
    """Write the reference page to the file named on the command line."""
    if len(sys.argv) != 2:
        sys.exit("usage: python -m catkinport.settings.reference FILE")
    Path(sys.argv[1]).write_text(render_reference(), encoding="utf-8")


if __name__ == "__main__":
    main()
