"""Freshness leases: how long a member may rely on its configuration and its roster.

Members are the daemons that the roster lists. A member holds a lease of length T, which
is renewed by a read of the store or by answers of all its live peers, and only while
the member holds the newest revision that it knows of. An accepted change is in force
after T: by then each member has applied it or has lost its lease.

The package is a pure state machine, which the daemon and
``benchmarks/freshness_model.py`` both drive. Times are seconds on the member's own
clock. ``docs/design.md`` section 5.1 gives the rule and the alternatives.
"""

from .lease import Freshness
from .peer_answer import PeerAnswer
from .timing import FreshnessTiming
from .view import View, ViewMember, merge_views

__all__ = [
    "Freshness",
    "FreshnessTiming",
    "PeerAnswer",
    "View",
    "ViewMember",
    "merge_views",
]
