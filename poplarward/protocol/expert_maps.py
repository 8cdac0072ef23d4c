"""Messages for changing the expert map of a model group on all its hosts."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .codec import message
from .expert_counts import pack_counts, unpack_counts

__all__ = [
    "AskVote",
    "Decided",
    "Decision",
    "ExpertCounts",
    "GetExpertCounts",
    "GetHostState",
    "GetMap",
    "HostState",
    "MapContents",
    "MapId",
    "Member",
    "PrepareMap",
    "RankCounts",
    "SlotChange",
    "StageMap",
    "Staged",
    "Vote",
    "VoteReply",
]


class MapId(NamedTuple):
    """Identifies an expert map and the single attempt to activate it.

    Attributes
    ----------
    version : int
        Version of the map that it replaces, plus one.
    fence : int
        Fencing number of the coordinator that proposed it.
    attempt : int
        Distinguishes attempts of the same coordinator.
    """

    version: int
    fence: int
    attempt: int


class Member(NamedTuple):
    """A host of the group, identified by one start of its agent.

    Attributes
    ----------
    start_id : int
        Start of the agent that may vote; after a restart the agent only reports
        the vote stored in its engine.
    peers_address : str
        Address at which the agent accepts connections.
    """

    name: str
    start_id: int
    peers_address: str


class SlotChange(NamedTuple):
    """A slot that is assigned another expert in the new map.

    ``source_rank`` is the rank to copy the weights from, -1 for the weight store.
    """

    layer: int
    rank: int
    slot: int
    expert: int
    source_rank: int


class Vote(StrEnum):
    """A host's final vote on one attempt."""

    READY = "ready"
    NO = "no"
    COMMITTED = "committed"
    UNKNOWN = "unknown"


class Decision(StrEnum):
    """Outcome of an attempt."""

    COMMIT = "commit"
    ABORT = "abort"


@message(200)
class StageMap:
    """Asks a host to load the weights of a new map; does not delay any step."""

    group: str
    map_id: MapId
    base: MapId
    changes: list[SlotChange]


@message(201)
class Staged:
    """Tells whether the weights are loaded; ``reason`` says why they are not."""

    map_id: MapId
    is_staged: bool
    reason: str = ""


@message(202)
class PrepareMap:
    """Asks a host to vote on switching to the new map at a step.

    A host that votes `Vote.READY` keeps its ranks from beginning ``step`` or any
    later step until it knows the decision.
    """

    group: str
    map_id: MapId
    base: MapId
    step: int
    members: list[Member]


@message(203)
class AskVote:
    """Asks for a host's vote; a host that has not voted yet then votes no."""

    group: str
    map_id: MapId


@message(204)
class VoteReply:
    """A host's vote on an attempt."""

    map_id: MapId
    vote: Vote
    reason: str = ""


@message(205)
class Decided:
    """Announces the decision, which is determined by the votes alone."""

    group: str
    map_id: MapId
    decision: Decision


@message(206)
class GetHostState:
    """Asks for a host's state, and passes on the coordinator's fencing number."""

    group: str
    fence: int


@message(207)
class HostState:
    """State of a host of the group.

    Attributes
    ----------
    start_id : int
        Start of the host's agent.
    ranks : list of int
        Numbers of the ranks that the host runs.
    step : int
        Step that the host's ranks are executing or waiting to begin.
    active : MapId
        Active map.
    pending : MapId or None
        Committed map that becomes active at a later step.
    undecided : MapId or None
        Attempt that the host voted for and whose decision it does not know.
    members : list of Member
        Hosts that vote on the undecided attempt.
    """

    start_id: int
    ranks: list[int]
    step: int
    active: MapId
    pending: MapId | None
    undecided: MapId | None
    members: list[Member]


@message(208)
class GetMap:
    """Asks a host for the complete active map."""

    group: str


@message(209)
class MapContents:
    """An expert map: experts by layer, rank and slot."""

    map_id: MapId
    layers: list[list[list[int]]]


class RankCounts(NamedTuple):
    """Tokens that a rank processed in a step, by layer and slot.

    Attributes
    ----------
    busy_us : int
        Time that the rank was busy in a step, without waiting.
    """

    rank: int
    busy_us: int
    tokens: list[list[int]]


@message(210)
class GetExpertCounts:
    """Asks a host for the counts of its ranks since the previous request.

    Attributes
    ----------
    accepts_packed : bool
        Whether the sender can decode packed counts.
    """

    group: str
    accepts_packed: bool = False


@message(211)
class ExpertCounts:
    """Mean counts of a host's ranks, for the steps up to ``step`` on one map.

    Attributes
    ----------
    n_slots : int
        Slots per rank and layer, if the counts are packed.
    packed : bytes
        Tokens of all ranks, see `pack_counts`; ``tokens`` of each rank is then empty.
    """

    step: int
    map_id: MapId
    ranks: list[RankCounts]
    n_slots: int = 0
    packed: bytes = b""

    def unpack_ranks(self) -> list[RankCounts]:
        """Return the counts with each rank's tokens unpacked; raises `DecodeError`."""
        if not self.packed:
            return self.ranks
        tokens = unpack_counts(self.packed, len(self.ranks), self.n_slots)
        return [
            counts._replace(tokens=found)
            for counts, found in zip(self.ranks, tokens, strict=True)
        ]

    def to_packed(self) -> ExpertCounts:
        """Return the same counts, packed if all ranks have equal numbers of slots."""
        sizes = {len(slots) for counts in self.ranks for slots in counts.tokens}
        n_layers = {len(counts.tokens) for counts in self.ranks}
        if len(sizes) != 1 or len(n_layers) != 1:
            return self
        ranks = [counts._replace(tokens=[]) for counts in self.ranks]
        packed = pack_counts(counts.tokens for counts in self.ranks)
        return ExpertCounts(self.step, self.map_id, ranks, sizes.pop(), packed)
