"""Messages for failure detection and gossip of the member table."""

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

    A process that does not respond becomes ``SUSPECT``, and after a longer time
    ``GONE``. ``LEAVING`` processes are draining.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class HeartbeatStatus(NamedTuple):
    """The sender's configuration state, carried by a heartbeat.

    Attributes
    ----------
    configuration_digest : bytes
        Digest of all applied versions.
    acknowledged_revision : int
        Every change up to this revision of the store is applied.
    """

    configuration_digest: bytes = b""
    acknowledged_revision: int = 0


class MemberRecord(NamedTuple):
    """Recorded state of one process.

    Attributes
    ----------
    incarnation : int
        Increases when the process starts and when it refutes a suspicion.
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
    """Asks a process whether it is alive, and passes on the sender's record of it.

    Attributes
    ----------
    incarnation, state
        Incarnation and state that the sender has recorded for the receiver.
    table_digest : bytes
        Digest of the sender's member table; empty if it has none.
    """

    incarnation: int
    state: MemberState
    status: HeartbeatStatus
    table_digest: bytes = b""


@message(103)
class ProbeReply:
    """Reply to `Probe`: the process is alive; carries its own record of itself."""

    record: MemberRecord
    status: HeartbeatStatus
    table_digest: bytes = b""


@message(104)
class IndirectProbe:
    """Asks an entry host to probe a process that the sender cannot reach itself."""

    address: Address
    incarnation: int
    state: MemberState


@message(105)
class IndirectProbeReply:
    """The record that the probed process returned; None if it did not respond."""

    record: MemberRecord | None


@message(106)
class MemberUpdates:
    """Records that have changed."""

    records: list[MemberRecord]


@message(107)
class MembersPull:
    """Asks for the records of the table sections whose digests differ."""

    part_digests: list[bytes]


@message(108)
class MembersPulled:
    """The records of the table sections that differ."""

    records: list[MemberRecord]


@message(109)
class ReachabilityReport:
    """Tells whether a delegate reaches another data centre."""

    data_centre: str
    is_reachable: bool
