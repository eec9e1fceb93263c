"""Tests of the processes of a trial deployment."""

import pytest

from ..processes import ProcessGroup


class TestFolder:
    def test_the_folder_is_removed_with_the_group(self):
        """Guards against trials that leave settings and output behind."""
        with ProcessGroup() as processes:
            (processes.folder / "entry-0.ini").write_text("")
        assert not processes.folder.exists()

    def test_a_kept_folder_outlives_the_group(self, tmp_path):
        """Guards against failed trials whose output is removed with them."""
        with ProcessGroup(parent=tmp_path) as processes:
            processes.is_folder_kept = True
            (processes.folder / "entry-0.log").write_text("line")
        assert (processes.folder / "entry-0.log").read_text() == "line"

    def test_the_end_of_a_kept_group_names_the_folder(self, tmp_path):
        """Guards against output of a trial that broke off and that nobody finds."""
        with pytest.raises(RuntimeError) as raised, ProcessGroup(tmp_path) as processes:
            processes.is_folder_kept = True
            raise RuntimeError("daemon not ready")
        assert str(processes.folder) in raised.value.__notes__[0]
