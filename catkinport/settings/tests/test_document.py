"""Tests of parsing and validating the environment's document."""

import configparser

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..declaration import format_fault
from ..document import parse_document
from ..environment import Environment
from ..ini import MAX_BYTES, MAX_FAULTS, scan_text
from .samples import DOCUMENT

FUZZ = settings(max_examples=60, derandomize=True, deadline=None, database=None)
FRAGMENTS = [
    "[catkinport]", "[team a]", "[key a]", "[queue a]", "[pool a]", "[", "]", "=",
    "format = 1", "max_slots = 1", "max_slots = " + "9" * 30, "spare = yes", "\r\n",
    "\ufeff", "\x00", "\ud800", "teams = a, a, ,", "weight = nan", "service = a", "#",
    "   x = 1", "[limits]", "[maintenance x]",
]  # fmt: skip
HOSTILE_TEXT = st.lists(
    st.one_of(st.sampled_from(FRAGMENTS), st.text(max_size=20)), max_size=30
).map("\n".join)
VALUES = st.text("aZ09 =;#[]:%\"'\\\u00e9\u4e2d", max_size=12)
BODIES = st.dictionaries(st.from_regex(r"[a-z][a-z0-9_]{0,6}", fullmatch=True), VALUES)
SECTIONS = st.dictionaries(
    st.sampled_from(["catkinport", "team a", "key b-1", "pool c"]), BODIES, max_size=4
)


@st.composite
def valid_texts(draw):
    """Return a valid INI text with comments, blank lines and either line ending."""
    lines = []
    for title, value_by_option in draw(SECTIONS).items():
        lines += [draw(st.sampled_from(["", "# a = 1", "; [x]"])), f"[{title}]"]
        for option, value in value_by_option.items():
            lines.append(option + draw(st.sampled_from(["=", " = ", " =\t"])) + value)
    return draw(st.sampled_from(["\n", "\r\n"])).join(lines)


VALID_TEXT = valid_texts()


@st.composite
def damaged_documents(draw):
    """Return the sample document with some lines removed or replaced."""
    lines = DOCUMENT.split("\n")
    numbers = st.integers(0, len(lines) - 1)
    for _ in range(draw(st.integers(1, 5))):
        target = draw(numbers)
        old = st.sampled_from(["", lines[draw(numbers)]])
        lines[target] = draw(st.one_of(old, st.sampled_from(FRAGMENTS), st.text()))
    return "\n".join(lines)


def parse_faults(text):
    faults = parse_document(text)
    assert isinstance(faults, list), "the document was accepted"
    return faults


class TestParseDocument:
    """Parsing and checking a document."""

    def test_values(self):
        environment = parse_document(DOCUMENT)
        assert environment.team_by_name["blue"].weight == 2
        assert environment.key_by_name["blue-1"].team == "blue"
        assert environment.queue_by_name["captions-quick"].teams == ("blue", "green")
        assert environment.queue_by_name["captions-open"].open_team == "green"
        assert environment.maintenance.period_days == 56

    @pytest.mark.parametrize(
        ("old", "new", "line", "option"),
        [
            ("team = blue", "team = red", 16, "team"),
            ("account = blue-web", "account = red", 23, "account"),
            ("service = captions", "service = renders", 39, "service"),
            ("service = captions\n", "\n", 37, "service"),
            ("teams = blue, green", "teams = blue, red", 40, "teams"),
            ("open_team = green", "", 42, "open_team"),
            ("spare = yes", "spare = no", 0, "spare"),
            ("max_slots = 40", "max_slots = 40000", 7, "max_slots"),
            ("min_vms = 4", "min_vms = 2001", 0, "max_reserved_vms"),
            ("weight = 2", "weight = 1e2", 6, "weight"),
            ("weight = 2", "weight = 2\nweight = 2", 7, "weight"),
            ("[team green]", "[team blue]", 10, ""),
            ("[operator ana]", "[account other]", 0, ""),
        ],
    )
    def test_fault_names_line_and_option(self, old, new, line, option):
        """Guards against accepted errors and faults with a wrong line or option."""
        assert old in DOCUMENT
        faults = parse_faults(DOCUMENT.replace(old, new, 1))
        assert (line, option) in [(fault.line, fault.option) for fault in faults]

    def test_every_fault_at_once(self):
        """Guards against a check that stops at the first fault of a document."""
        text = DOCUMENT.replace("weight = 2", "weight = -2").replace("= 400", "= many")
        faults = parse_faults(text + "[unknown]\n")
        assert [fault.option for fault in faults] == ["weight", "max_cores", ""]

    def test_no_secret_in_a_message(self):
        """Guards against a mistakenly pasted secret that a fault shows in logs."""
        secret = "s3cr3t-s3cr3t"
        text = DOCUMENT.replace("salt = " + "0c" * 16, f"secret = {secret}\n{secret}")
        text += f"[operator b]\nsalt = {secret}\n"
        faults = parse_faults(text)
        assert secret not in " ".join(format_fault(fault) for fault in faults)

    def test_size_limits(self):
        """Guards against memory use and answers that grow with hostile input."""
        assert len(parse_faults("#" * (MAX_BYTES + 1))) >= 1
        assert len(parse_faults("x\n" * 5000)) == MAX_FAULTS + 1

    @FUZZ
    @given(st.one_of(HOSTILE_TEXT, damaged_documents()))
    def test_hostile_text_never_raises(self, text):
        """Guards against a document that crashes the member that checks it."""
        outcome = parse_document(text)
        assert isinstance(outcome, Environment) or all(map(format_fault, outcome))

    @FUZZ
    @given(VALID_TEXT)
    def test_agrees_with_configparser(self, text):
        """Guards against INI text that is read differently from configparser."""
        scanned = scan_text(text)
        assert not scanned.faults
        parser = configparser.ConfigParser(delimiters=("=",), interpolation=None)
        parser.read_string(text)
        found = {
            section.title: {e.option: e.value for e in section.entry_by_option.values()}
            for section in scanned.sections
        }
        assert found == {name: dict(parser[name]) for name in parser.sections()}
