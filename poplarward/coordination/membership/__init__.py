"""Knows which processes are live, suspect, leaving or gone.

`Membership` is an entry host's view of all processes; `Presence` answers probes and
is all that an agent needs.
"""

from ...protocol.heartbeats import HeartbeatStatus, MemberRecord, MemberState
from .membership import Member, Membership, MembershipTiming
from .presence import Presence

__all__ = [
    "HeartbeatStatus",
    "Member",
    "MemberRecord",
    "MemberState",
    "Membership",
    "MembershipTiming",
    "Presence",
]
