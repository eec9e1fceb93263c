"""Turns of a list whose members must not wait for each other."""

from collections.abc import Sequence


def rotate(names: Sequence[str], first: str) -> list[str]:
    """Return the names in the same cyclic order, from ``first`` on if it is there.

    Example:
        >>> rotate(["a", "b", "c"], "b")
        ['b', 'c', 'a']
        >>> rotate(["a", "b", "c"], "d")
        ['a', 'b', 'c']
    """
    start = names.index(first) if first in names else 0
    return [*names[start:], *names[:start]]
