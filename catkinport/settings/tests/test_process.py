"""Tests of the settings of a daemon process."""

from pathlib import Path

import pytest

from ..declaration import format_fault
from ..process import load_controller_settings, load_entry_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
CLUSTER_KEY = "0123456789abcdef" * 2
SETTINGS = f"""\
[process]
name = entry-1
zone = zone-a
[platform]
table = 127.0.0.1:7001
objects = 127.0.0.1:7001
vm_list = 127.0.0.1:7001
[cluster]
key = {CLUSTER_KEY}
"""


@pytest.fixture
def load(tmp_path):
    def load(text, loader=load_entry_settings):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        return loader(path)

    return load


class TestProcessSettings:
    """Tests of loading the settings file of a daemon."""

    def test_defaults(self, load):
        settings = load(SETTINGS + "[addresses]\nhost = 10.0.0.7\n")
        assert settings.addresses.advertised_host == "10.0.0.7"
        assert settings.cluster_key == CLUSTER_KEY.encode()
        assert settings.bootstrap is None
        assert load(SETTINGS, load_controller_settings).controller.lease_seconds == 300

    def test_cluster_key_is_not_shown(self, load):
        """Guards against the cluster key being logged with the settings."""
        settings = load(SETTINGS)
        assert CLUSTER_KEY not in f"{settings} {settings!r} {settings.cluster_key}"

    def test_key_file(self, load, tmp_path):
        (tmp_path / "key").write_text(CLUSTER_KEY + "\n")
        settings = load(SETTINGS.replace(f"key = {CLUSTER_KEY}", "key_file = key"))
        assert settings.cluster_key == CLUSTER_KEY.encode()

    def test_examples(self, load, tmp_path):
        """Guards against example settings that a daemon refuses."""
        (tmp_path / "cluster.key").write_text(CLUSTER_KEY)
        entry = load((EXAMPLES / "entry.ini").read_text())
        assert entry.addresses.caller_port == 7070
        text = (EXAMPLES / "controller.ini").read_text()
        assert load(text, load_controller_settings).controller.renew_seconds == 10

    @pytest.mark.parametrize(
        ("old", "new", "option"),
        [
            (CLUSTER_KEY, "short-secret", "key"),
            (f"key = {CLUSTER_KEY}", "key_file = missing", "key_file"),
            (f"key = {CLUSTER_KEY}", "", "key"),
            ("127.0.0.1:7001", "127.0.0.1", "table"),
            ("[cluster]", "[bootstrap]\noperator = a\n[cluster]", "operator"),
            ("[cluster]", "[controller]\n[cluster]", ""),
        ],
    )
    def test_faults(self, load, old, new, option):
        """Guards against a daemon that starts with settings that can't work."""
        faults = load(SETTINGS.replace(old, new, 1))
        assert [fault.option for fault in faults] == [option]
        assert "short-secret" not in format_fault(faults[0])

    def test_short_lease(self, load):
        """Guards against task leases that expire between two renewals."""
        text = SETTINGS + "[controller]\nlease_seconds = 20\n"
        faults = load(text, load_controller_settings)
        assert [fault.option for fault in faults] == ["renew_seconds"]

    def test_unreadable_file(self, tmp_path):
        """Guards against a traceback instead of a fault that names the file."""
        assert "missing.ini" in load_entry_settings(tmp_path / "missing.ini")[0].message
