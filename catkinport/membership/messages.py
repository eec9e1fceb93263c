"""Messages to the membership actor."""

from collections.abc import Collection
from concurrent.futures import Future
from typing import Any, NamedTuple

import pykka

from ..ports import Refused, Unavailable
from ..protocol import peer_pb2
from .roster_store import StoreState


class Connected(NamedTuple):
    """The server for peers listens; the member can register."""

    peers: pykka.ActorRef
    peer_address: str


class Tick(NamedTuple):
    """A renewal period has passed."""


class PollNow(NamedTuple):
    """Read the store without waiting for the next period."""


class StoreRead(NamedTuple):
    """A read that was sent at ``sent_at`` has ended."""

    sent_at: float
    state: StoreState | Unavailable | None


class Registered(NamedTuple):
    """A registration has ended; ``state`` was read right after it."""

    member_id: str
    state: StoreState | Unavailable | None


class StoreWritten(NamedTuple):
    """A write to the roster has ended."""

    failure: Unavailable | None


class PeerConfirmed(NamedTuple):
    """A call of ``Confirm`` has ended."""

    peer_id: str
    sent_at: float
    reply: peer_pb2.ConfirmReply | Unavailable


class DocumentArrived(NamedTuple):
    """A document came from a peer or was committed by this member."""

    revision: int
    document: str


class PeerAcknowledged(NamedTuple):
    """A peer holds a revision."""

    peer_id: str
    held_revision: int


class FetchEnded(NamedTuple):
    """A call of ``FetchDocument`` has ended."""

    revision: int
    document: str


class ServeCall(NamedTuple):
    """A peer's call; ``reply`` gets the message to answer with."""

    method: str
    request: Any
    reply: "Future[Any]"


class PrepareAcceptance(NamedTuple):
    """Ask whether changes may be accepted; answered with the member's id."""

    result: "Future[str | Refused]"


class AwaitInForce(NamedTuple):
    """Announce a committed revision and tell when it is in force.

    Args:
        revision: the committed revision.
        document: its text.
        roster_ids: members, not known to have ended, of the roster at the commit.
        result: gets the time at which the revision was in force.
    """

    revision: int
    document: str
    roster_ids: Collection[str]
    result: "Future[float]"


class Leave(NamedTuple):
    """Accept no more changes and say goodbye; ``result`` gets the id to remove."""

    result: "Future[str]"
