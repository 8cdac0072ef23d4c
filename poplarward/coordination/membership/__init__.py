"""Membership: which processes are live, suspect, draining or gone.

`Membership` is an entry host's view of all processes. `LocalMember` responds to probes;
an agent needs nothing else.
"""

from ...protocol.heartbeats import HeartbeatStatus, MemberRecord, MemberState
from .local_member import LocalMember
from .membership import Membership, MembershipTiming
from .view import Member

__all__ = [
    "HeartbeatStatus",
    "LocalMember",
    "Member",
    "MemberRecord",
    "MemberState",
    "Membership",
    "MembershipTiming",
]
