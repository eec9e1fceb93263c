"""Checks that the settings, their template and the deploy file agree."""

import re
import tomllib
from pathlib import Path
from typing import Any

from ..settings import DaemonSettings, parse_settings

ROOT = Path(__file__).parents[3]
FIELDS: dict[str, Any] = {
    "NodeName": "edge-chc-a-1",
    "Zone": "chc-a",
    "Limits": {
        "CpuShare": 0.537,
        "Cores": 2,
        "LinkMbps": 1000.0,
        "MemoryMb": 160,
        "MaxFds": 4100,
    },
    "ListenAddrs": {"Front": "10.1.0.23:8340", "Ready": "10.1.0.23:8343"},
    "PortRange": [7000, 7015],
    "platform": {"Address": "10.200.1.7:8344"},
    "CloudApi": {"Address": "10.200.0.82:8344"},
    "Advice": "10.200.1.9:8344",
    "Bounds": {
        "HoldMaxMs": 10000,
        "RevokeMs": 5000,
        "GraceS": 6,
        "LeaseMs": 3000,
        "NoticeMs": 4500,
        "UpkeepS": 2,
        "MoveS": 1.5,
    },
}


def _look_up(name: str, scope: Any) -> Any:
    if name == ".":
        return scope
    value: Any = FIELDS
    for part in name.split("."):
        is_list = isinstance(value, list)
        value = value[int(part)] if is_list else value.get(part, "")
    return value


def fill_in(template: str) -> str:
    """Fill in a template as the platform does, for the features that ours uses."""

    def section(match: re.Match[str]) -> str:
        value = _look_up(match[1], None)
        return "" if value in ("", None) else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(_look_up(m[1], None)), text)


class TestTemplate:
    def _template(self) -> str:
        return (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")

    def test_filled_in_template_has_no_fault(self):
        settings = parse_settings(fill_in(self._template()))
        assert isinstance(settings, DaemonSettings), settings
        assert settings.callers == "10.1.0.23:8340"
        assert settings.bounds.longest_lease == 10.0
        assert settings.bounds.move == 1.5
        assert settings.processor_share * settings.processor_speed == 1.074
        assert settings.client_bounds.connections == 1280

    def test_bounds_that_the_platform_leaves_out_have_defaults(self):
        text = re.sub(r"\[bounds\].*", "", fill_in(self._template()), flags=re.S)
        settings = parse_settings(text)
        assert isinstance(settings, DaemonSettings), settings
        assert settings.bounds.revoked_key == 5.0

    def test_look_ahead_is_off_unless_it_is_switched_on(self):
        """Guards against existing deployments that place tasks in another way."""
        text = fill_in(self._template())
        assert not parse_settings(text).looks_ahead
        assert parse_settings(text + "\n[placement]\nlook_ahead = true\n").looks_ahead
        (fault,) = parse_settings(text + "\n[placement]\nlook_ahead = 2\n")
        assert fault.option == "look_ahead"

    def test_every_fault_is_named_with_its_option(self):
        text = fill_in(self._template()).replace("10.1.0.23:8340", "here")
        (fault,) = parse_settings(text)
        assert fault.option == "callers"


class TestDeployFile:
    def test_role_names_files_that_exist(self):
        content = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        deploy = tomllib.loads(content)
        role = deploy["roles"]["fleet"]
        assert (ROOT / role["template"]).is_file()
        module = role["run"].split()[-1]
        assert (ROOT / (module.replace(".", "/") + ".py")).is_file()
        assert "deploy/requirements.txt" in deploy["build"]

    def test_requirements_are_those_that_tests_run_with(self):
        """Guards against a deployment with other versions than those tested."""
        lock = (ROOT / "requirements.lock").read_text(encoding="utf-8").splitlines()
        wanted = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
        lines = [line for line in wanted.splitlines() if line[:1] not in ("#", "")]
        assert lines
        assert all(line in lock for line in lines)
