"""Answers that confirm a peer's lease."""

from typing import NamedTuple

from .view import View


class PeerAnswer(NamedTuple):
    """The answer of a member to a peer's request for confirmation.

    Args:
        member_id: id of the member that answers.
        revision: highest revision of the configuration that it knows of.
        view: its view.
        is_stopping: whether it is stopping.
        is_established: whether every fresh member has it in its view.
        silent_ids: peers that have not answered it lately.
    """

    member_id: str
    revision: int
    view: View
    is_stopping: bool = False
    is_established: bool = True
    silent_ids: frozenset[str] = frozenset()
