"""Messages to the membership actor."""

from collections.abc import Collection
from concurrent.futures import Future
from typing import Any, NamedTuple

import pykka

from ..ports import Refused, Unavailable
from ..protocol import peer_pb2
from .roster_store import StoreState


class Connected(NamedTuple):
    """Notice that the server for peers listens, so that the member can register."""

    peers: pykka.ActorRef
    peer_address: str


class Tick(NamedTuple):
    """Notice that a renewal period has passed."""


class StoreRead(NamedTuple):
    """Result of a store read that was sent at ``sent_at``.

    ``state`` is ``None`` when the read raised an exception.
    """

    sent_at: float
    state: StoreState | Unavailable | None


class Registered(NamedTuple):
    """Result of a registration; ``state`` was read right after it.

    ``state`` is ``None`` when the registration raised an exception.
    """

    member_id: str
    state: StoreState | Unavailable | None


class StoreWritten(NamedTuple):
    """Result of a write to the roster; ``failure`` is set if the store failed."""

    failure: Unavailable | None


class PeerConfirmed(NamedTuple):
    """Result of a ``Confirm`` call that was sent to a peer at ``sent_at``."""

    peer_id: str
    sent_at: float
    reply: peer_pb2.ConfirmReply | Unavailable


class PeerAcknowledged(NamedTuple):
    """Notice that a peer has applied a revision."""

    peer_id: str
    held_revision: int


class FetchEnded(NamedTuple):
    """Result of a ``FetchDocument`` call; revision 0 when the call failed."""

    revision: int
    document: str


class ServeCall(NamedTuple):
    """Call from a peer; ``reply`` is completed with the message to answer with."""

    method: str
    request: Any
    reply: "Future[Any]"


class PrepareAcceptance(NamedTuple):
    """Request for the member's id, refused while it may not accept changes."""

    result: "Future[str | Refused]"


class AwaitInForce(NamedTuple):
    """Request to announce a committed revision and to wait until it is in force.

    Args:
        revision: the committed revision.
        document: its text.
        roster_ids: all members of the roster at the commit.
        result: completed with the time at which the revision was in force.
    """

    revision: int
    document: str
    roster_ids: Collection[str]
    result: "Future[float]"


class Leave(NamedTuple):
    """Request to accept no more changes and to announce the shutdown to all peers.

    ``result`` is completed with the id to remove from the roster.
    """

    result: "Future[str]"
