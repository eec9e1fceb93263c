"""Settings of a daemon's membership."""

from collections.abc import Callable
from typing import NamedTuple

from ..policy.freshness import FreshnessTiming
from ..settings.environment import Environment

ROLES = ("entry", "controller")

Parse = Callable[[str], Environment]
"""Function that parses a checked document into the environment.

On a ``ValueError`` the member keeps the environment that it has.
"""


class MembershipSettings(NamedTuple):
    """Settings of one member.

    Args:
        role: ``"entry"`` or ``"controller"``.
        zone: availability zone.
        host: address on which the server listens and under which peers reach it.
        peer_port: port of the gRPC server; 0 lets the system choose.
        admin_address: ``host:port`` of the administration API.
        cluster_key: secret that all members share, at least 16 bytes.
        timing: durations of the freshness lease, its renewal and evictions.
    """

    role: str
    zone: str
    host: str
    peer_port: int
    admin_address: str
    cluster_key: bytes
    timing: FreshnessTiming = FreshnessTiming()

    def check(self) -> None:
        """Check the role, the port and the host.

        Raises:
            ValueError: if one of them is not allowed.
        """
        if self.role not in ROLES:
            raise ValueError(f"role must be one of {ROLES}, got {self.role!r}")
        if not 0 <= self.peer_port <= 65535:
            raise ValueError(f"peer_port must be 0 to 65535, got {self.peer_port}")
        if not self.host:
            raise ValueError("host must not be empty")
