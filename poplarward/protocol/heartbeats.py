"""Messages by which processes watch each other and spread what they see."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..transport import Address
from .codec import message

__all__ = [
    "HeartbeatStatus",
    "IndirectProbe",
    "IndirectProbeReply",
    "MemberRecord",
    "MemberState",
    "MemberUpdates",
    "MembersPull",
    "MembersPulled",
    "Probe",
    "ProbeReply",
    "ReachabilityReport",
]


class MemberState(StrEnum):
    """Whether a process may be given work.

    ``SUSPECT`` processes did not answer for a short time, ``GONE`` ones for longer.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class HeartbeatStatus(NamedTuple):
    """What a heartbeat tells of the sender's configuration.

    Attributes
    ----------
    configuration_digest : bytes
        Digest of all versions in force.
    acknowledged_revision : int
        Every change up to this revision of the store is in force.
    """

    configuration_digest: bytes = b""
    acknowledged_revision: int = 0


class MemberRecord(NamedTuple):
    """What is known of one process.

    Attributes
    ----------
    incarnation : int
        Rises when the process starts, and when it contradicts a suspicion.
    """

    name: str
    role: str
    data_centre: str
    address: Address
    callers_address: str
    start_id: int
    incarnation: int
    state: MemberState


@message(102)
class Probe:
    """Asks a process whether it lives, and tells what the sender thinks of it.

    Attributes
    ----------
    incarnation, state
        What the sender has recorded of the receiver.
    table_digest : bytes
        Digest of the sender's table; empty if it has none.
    """

    incarnation: int
    state: MemberState
    status: HeartbeatStatus
    table_digest: bytes = b""


@message(103)
class ProbeReply:
    """The process lives; its record as it sees itself."""

    record: MemberRecord
    status: HeartbeatStatus
    table_digest: bytes = b""


@message(104)
class IndirectProbe:
    """Asks an entry host to probe a process that the sender cannot reach."""

    address: Address
    incarnation: int
    state: MemberState


@message(105)
class IndirectProbeReply:
    """The record that the process gave; None if it did not answer."""

    record: MemberRecord | None


@message(106)
class MemberUpdates:
    """Records that have changed."""

    records: list[MemberRecord]


@message(107)
class MembersPull:
    """Asks for the records of the parts of the table whose digests differ."""

    part_digests: list[bytes]


@message(108)
class MembersPulled:
    """The records of the parts that differ."""

    records: list[MemberRecord]


@message(109)
class ReachabilityReport:
    """Tells whether a delegate reaches another data centre."""

    data_centre: str
    is_reachable: bool
