"""Tests of the generated reference page and of the example document."""

from pathlib import Path

from ..document import parse_document
from ..environment import Environment
from ..reference import render_reference

ROOT = Path(__file__).parents[3]


class TestReference:
    """Tests of files that must agree with the declarations."""

    def test_page_is_current(self):
        """Guards against a reference page that differs from the declarations."""
        page = (ROOT / "docs" / "configuration.md").read_text(encoding="utf-8")
        assert page == render_reference()

    def test_example_is_valid(self):
        """Guards against an example document that would be refused."""
        text = (ROOT / "examples" / "environment.ini").read_text(encoding="utf-8")
        assert isinstance(parse_document(text), Environment)
