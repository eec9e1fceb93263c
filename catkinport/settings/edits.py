"""Edits of a document's text that leave all other lines unchanged."""

import difflib

from ..ports import Reason, Refused
from .declaration import NAME_ALLOWED, NAME_PATTERN, shorten
from .ini import Section, scan_text
from .keys import SECRET_ALLOWED, SaltedHash, create_salt, hash_secret


def grant_key(text: str, name: str, account: str, secret: str) -> str | Refused:
    """Return ``text`` with a section for a new key, or why it is refused.

    The section holds a salted hash of ``secret``, not the secret itself.

    Args:
        text: the document.
        name: name of the new key.
        account: account that the key is for; must be in the document.
        secret: secret of the key, see ``keys.create_secret``.
    """
    try:
        salted_hash = hash_secret(secret, create_salt())
    except ValueError:
        return _refuse(Reason.REQUEST_INVALID, f"the secret must be {SECRET_ALLOWED}")
    return grant_hashed_key(text, name, account, salted_hash)


def grant_hashed_key(
    text: str, name: str, account: str, salted_hash: SaltedHash
) -> str | Refused:
    """Return ``text`` with a section for a new key, or why it is refused.

    The section comes after the last section of a key, else at the end.
    """
    if not NAME_PATTERN.fullmatch(name):
        detail = f"the key's name must be {NAME_ALLOWED}, got {shorten(name)!r}"
        return _refuse(Reason.REQUEST_INVALID, detail)
    sections = scan_text(text).sections
    if _find(sections, "key", name):
        detail = f"the key {name} exists already; withdraw it or choose another name"
        return _refuse(Reason.REQUEST_INVALID, detail)
    if not _find(sections, "account", account):
        detail = f"there is no account {shorten(account)}"
        return _refuse(Reason.NOT_FOUND, detail)
    ending = "\r\n" if "\r\n" in text else "\n"
    new_lines = [
        "",
        f"[key {name}]",
        f"account = {account}",
        f"salt = {salted_hash.salt}",
        f"digest = {salted_hash.digest}",
    ]
    block = "".join(line + ending for line in new_lines)
    lines = _split_keeping_ends(text)
    position = max(
        (_last_line(section) for section in sections if section.kind == "key"),
        default=len(lines),
    )
    head = "".join(lines[:position])
    if head and not head.endswith("\n"):
        head += ending
    return head + block + "".join(lines[position:])


def withdraw_key(text: str, name: str) -> str | Refused:
    """Return ``text`` without a key; comments inside its section stay.

    The blank line before the section is removed too, so that granting a key and
    withdrawing it restores the original text.
    """
    section = _find(scan_text(text).sections, "key", name)
    if section is None:
        return _refuse(Reason.NOT_FOUND, f"there is no key {shorten(name)}")
    removed = {section.line}
    removed.update(entry.line for entry in section.entry_by_option.values())
    lines = _split_keeping_ends(text)
    if section.line > 1 and not lines[section.line - 2].strip():
        removed.add(section.line - 1)
    kept = [line for number, line in enumerate(lines, 1) if number not in removed]
    return "".join(kept)


def diff_documents(old: str, new: str) -> str:
    r"""Return a unified diff of two documents, empty if they are the same.

    Example:
        >>> print(diff_documents("a = 1\n", "a = 2\n").splitlines()[-1])
        +a = 2
    """
    old_lines, new_lines = _split_keeping_ends(old), _split_keeping_ends(new)
    lines = difflib.unified_diff(old_lines, new_lines, "current", "proposed")
    return "".join(
        line if line.endswith("\n") else line + "\n\\ No newline at end of file\n"
        for line in lines
    )


def _find(sections: list[Section], kind: str, name: str) -> Section | None:
    matches = (s for s in sections if (s.kind, s.name) == (kind, name))
    return next(matches, None)


def _last_line(section: Section) -> int:
    lines = [entry.line for entry in section.entry_by_option.values()]
    return max([section.line, *lines])


def _split_keeping_ends(text: str) -> list[str]:
    # str.splitlines also splits at characters such as form feeds, at which the line
    # numbers of scan_text don't advance.
    lines = text.split("\n")
    ended = [line + "\n" for line in lines[:-1]]
    return ended + ([lines[-1]] if lines[-1] else [])


def _refuse(reason: Reason, detail: str) -> Refused:
    return Refused(reason, "document-edit", detail=detail)
