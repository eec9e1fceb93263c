"""Membership of a daemon: roster, freshness lease and shared configuration."""

from .interface import (
    Acceptance,
    AcceptOutcome,
    MemberRecord,
    Membership,
    MembershipSnapshot,
    RevisionConflict,
)
from .service import RunningMembership, start_membership
from .settings import MembershipSettings

__all__ = [
    "AcceptOutcome",
    "Acceptance",
    "MemberRecord",
    "Membership",
    "MembershipSettings",
    "RevisionConflict",
    "RunningMembership",
    "MembershipSnapshot",
    "start_membership",
]
