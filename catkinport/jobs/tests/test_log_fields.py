"""Tests of the order of fields in log lines of the owner."""

import ast
from collections.abc import Iterator
from pathlib import Path

JOBS_PACKAGE = Path(__file__).parents[1]


def find_log_calls() -> Iterator[tuple[str, ast.Call]]:
    """Iterate over the calls of `log_event`, each with its place."""
    for path in sorted(JOBS_PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _name(node.func) == "log_event":
                yield f"{path.name}:{node.lineno}", node


def is_list(value: ast.expr) -> bool:
    """Return whether the text of a field grows with the length of a list."""
    calls = (node for node in ast.walk(value) if isinstance(node, ast.Call))
    return any(_name(call.func) == "join" for call in calls)


def _name(function: ast.expr) -> str:
    return getattr(function, "id", getattr(function, "attr", ""))


class TestListsInLines:
    def test_lists_come_last(self):
        """Guards against a long list that pushes what decides off the line."""
        misplaced = []
        for place, call in find_log_calls():
            are_lists = [is_list(keyword.value) for keyword in call.keywords]
            if are_lists != sorted(are_lists):
                misplaced.append(place)
        assert misplaced == []

    def test_calls_are_found(self):
        """Guards against a test that looks at no line."""
        assert sum(
            any(is_list(keyword.value) for keyword in call.keywords)
            for _, call in find_log_calls()
        )
