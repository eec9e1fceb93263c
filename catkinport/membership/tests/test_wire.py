"""Tests of converting views and answers to messages."""

from ...policy.freshness import PeerAnswer, View, ViewMember
from ..wire import answer_from_message, answer_to_message, view_from_message

_VIEW = View(7, {"a": ViewMember("entry", "127.0.0.1:1", "z", True)}, frozenset("a"))
_ANSWER = PeerAnswer("a", 3, _VIEW, True, False, frozenset({"b", "c"}))


class TestAnswer:
    """Answers to a liveness check."""

    def test_answer_is_the_same_after_conversion(self):
        """Guards against a field that one of the two conversions leaves out."""
        message = answer_to_message(_ANSWER, receiver_version=6)
        assert answer_from_message(message, View(6, {})) == _ANSWER

    def test_members_are_left_out_for_the_same_version(self):
        """Guards against liveness checks that take 20 KB/s with 18 members."""
        message = answer_to_message(_ANSWER, receiver_version=7)
        assert not message.view.members
        assert answer_from_message(message, _VIEW) == _ANSWER

    def test_view_without_members_never_replaces_own_view(self):
        """Guards against an empty roster, with which no peer has to confirm a lease."""
        message = answer_to_message(_ANSWER, receiver_version=7)
        view = view_from_message(message.view, _VIEW._replace(roster_version=6))
        assert view.roster_version == 0
