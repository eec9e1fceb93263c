"""Tests of secrets and of edits that grant and withdraw keys."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...ports import Reason, Refused
from ..document import parse_document
from ..edits import diff_documents, grant_key, withdraw_key
from ..keys import Caller, check_key, check_operator, create_secret, hash_secret
from .samples import DOCUMENT

FUZZ = settings(max_examples=60, derandomize=True, deadline=None, database=None)
SECRET = "A" * 43


def grant(text=DOCUMENT, name="blue-2"):
    granted = grant_key(text, name, "blue-web", SECRET)
    assert isinstance(granted, str)
    return granted


class TestCheckKey:
    """Tests of which headers are accepted and what a refusal says."""

    def test_valid_key(self):
        caller = check_key(parse_document(grant()), f"Bearer blue-2.{SECRET}")
        assert (caller.key_name, caller.team.name) == ("blue-2", "blue")

    @pytest.mark.parametrize(
        ("header", "reason"),
        [
            (None, Reason.KEY_MISSING),
            ("", Reason.KEY_MISSING),
            ("Bearer ", Reason.KEY_MALFORMED),
            (f"Basic blue-2.{SECRET}", Reason.KEY_MALFORMED),
            (f"Bearer blue-2.{SECRET}\n", Reason.KEY_MALFORMED),
            (f"Bearer blue-2.{SECRET[:-1]}\u00e9", Reason.KEY_MALFORMED),
            ("Bearer blue-2." + "A" * 5000, Reason.KEY_MALFORMED),
            (f"Bearer blue-2.{SECRET[:-1]}B", Reason.KEY_UNKNOWN),
            (f"Bearer blue-1.{SECRET}", Reason.KEY_UNKNOWN),
            (f"Bearer nobody.{SECRET}", Reason.KEY_UNKNOWN),
        ],
    )
    def test_refused(self, header, reason):
        """Guards against forged, empty, overlong and unknown keys that are accepted."""
        outcome = check_key(parse_document(grant()), header)
        assert outcome.reason == reason
        assert "AAAA" not in outcome.detail

    def test_withdrawn_key(self):
        """Guards against a key that is still accepted after its withdrawal."""
        environment = parse_document(withdraw_key(grant(), "blue-2"))
        outcome = check_key(environment, f"Bearer blue-2.{SECRET}")
        assert outcome.reason == Reason.KEY_UNKNOWN

    def test_callers_key_is_no_operators_key(self):
        """Guards against a caller's key that the administration API accepts."""
        environment = parse_document(grant())
        outcome = check_operator(environment.operator_by_name, f"Bearer ana.{SECRET}")
        assert isinstance(outcome, Refused)

    @FUZZ
    @given(st.text(max_size=300))
    def test_hostile_header_never_raises(self, text):
        environment = parse_document(DOCUMENT)
        for header in (text, "Bearer " + text):
            assert not isinstance(check_key(environment, header), Caller)

    def test_weak_secret(self):
        """Guards against the fast hash being used on a secret that can be guessed."""
        with pytest.raises(ValueError, match="not shown"):
            hash_secret("password", "00" * 16)
        assert isinstance(
            grant_key(DOCUMENT, "blue-2", "blue-web", "password"), Refused
        )
        assert create_secret() != create_secret()


class TestEdits:
    """Tests of granting and withdrawing keys in the text of a document."""

    @pytest.mark.parametrize("ending", ["\n", "\r\n"])
    def test_other_lines_stay(self, ending):
        """Guards against lost comments, reordered sections and mixed line endings."""
        text = DOCUMENT.replace("\n", ending)
        granted = grant(text)
        assert granted.count("\n") - granted.count(ending) == 0
        assert withdraw_key(granted, "blue-2") == text
        added = diff_documents(text, granted).splitlines()[3:]
        assert not [line for line in added if line.startswith("-")]

    def test_comments_in_a_withdrawn_section_stay(self):
        text = DOCUMENT.replace("[key blue-1]\n", "[key blue-1]\n# Night batch.\n")
        withdrawn = withdraw_key(text, "blue-1")
        assert "# Night batch." in withdrawn
        assert not parse_document(withdrawn).key_by_name

    def test_no_final_newline(self):
        """Guards against a header appended to the document's last line."""
        text = withdraw_key(DOCUMENT, "blue-1").rstrip("\n")
        assert "blue-2" in parse_document(grant(text)).key_by_name

    @pytest.mark.parametrize(
        ("name", "account"),
        [("blue-1", "blue-web"), ("blue-2", "nobody"), ("a]\n[x", "blue-web")],
    )
    def test_refused_grant(self, name, account):
        """Guards against overwritten keys and against injected lines."""
        assert isinstance(grant_key(DOCUMENT, name, account, SECRET), Refused)
