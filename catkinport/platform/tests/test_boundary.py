"""Checks that only the adapter uses the platform's names and that no one imports it."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]
ADAPTER = PACKAGE / "platform"
# Names of the platform's calls, fields and headers that no other package needs.
WIRE_NAMES = re.compile(
    r"\b(FencingToken|UntilMs|LastSeen|ClockMs|EnforcesCapacity|MaxAttempts|MemMb"
    r"|EstimateMs|TargetLatencyMs|PathPrefix|ApiKeys|NextToken|rows-(tx|get|feed)"
    r"|run-(start|stop)|machine-(move|upkeep)|X-Catkinport-[A-Za-z-]+)\b"
)
OTHER_MODULES = sorted(
    path for path in PACKAGE.rglob("*.py") if ADAPTER not in path.parents
)


class TestBoundary:
    @pytest.mark.parametrize("path", OTHER_MODULES, ids=lambda path: path.name)
    def test_no_wire_name_outside_the_adapter(self, path):
        found = WIRE_NAMES.search(path.read_text(encoding="utf-8"))
        assert found is None, f"{path}: {found and found.group()}"

    @pytest.mark.parametrize("path", OTHER_MODULES, ids=lambda path: path.name)
    def test_nothing_outside_imports_the_adapter(self, path):
        text = path.read_text(encoding="utf-8")
        n_dots = len(path.relative_to(PACKAGE).parts)
        pattern = rf"from (\.{{{n_dots}}}|catkinport\.)platform(\.| import)"
        assert not re.search(pattern, text)
