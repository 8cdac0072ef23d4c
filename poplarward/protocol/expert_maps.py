"""Messages by which the hosts of a model group change its expert map together."""

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
    """Names one expert map, and the one attempt to put it in force.

    Attributes
    ----------
    version : int
        One more than that of the map it replaces.
    fence : int
        Fencing number of the coordinator that proposed it.
    attempt : int
        Tells attempts of the same coordinator apart.
    """

    version: int
    fence: int
    attempt: int


class Member(NamedTuple):
    """A host of the group, as one start of its agent.

    Attributes
    ----------
    start_id : int
        The start of the agent that may vote; a later start only reports the vote
        that its engine holds.
    peers_address : str
        Where the agent accepts connections.
    """

    name: str
    start_id: int
    peers_address: str


class SlotChange(NamedTuple):
    """A slot that holds another expert in the new map.

    ``source_rank`` is the rank its weights come from, -1 for the weight store.
    """

    layer: int
    rank: int
    slot: int
    expert: int
    source_rank: int


class Vote(StrEnum):
    """What a host has said, for good, about one attempt."""

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
    """Asks a host to get the weights of a new map in place; holds back no step."""

    group: str
    map_id: MapId
    base: MapId
    changes: list[SlotChange]


@message(201)
class Staged:
    """Tells whether the weights are in place; ``reason`` says why they are not."""

    map_id: MapId
    is_staged: bool
    reason: str = ""


@message(202)
class PrepareMap:
    """Asks a host for its vote on switching at a step.

    A host that votes `Vote.READY` lets its ranks begin no step from ``step`` on
    until it knows the decision.
    """

    group: str
    map_id: MapId
    base: MapId
    step: int
    members: list[Member]


@message(203)
class AskVote:
    """Asks for a host's vote; one that has not voted yet thereby votes no."""

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
    """Tells a host the decision, which follows from the votes alone."""

    group: str
    map_id: MapId
    decision: Decision


@message(206)
class GetHostState:
    """Asks for a host's state, and shows it the coordinator's fencing number."""

    group: str
    fence: int


@message(207)
class HostState:
    """State of a host of the group.

    Attributes
    ----------
    start_id : int
        The start of its agent.
    ranks : list of int
        Numbers of the ranks that the host runs.
    step : int
        Step that the host's ranks are in, or wait to begin.
    active : MapId
        Map in use.
    pending : MapId or None
        Map that was decided on and comes into use at a later step.
    undecided : MapId or None
        Attempt that the host voted for and does not know the decision of.
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
    """Asks a host for the whole map in use."""

    group: str


@message(209)
class MapContents:
    """An expert map: experts by layer, rank and slot."""

    map_id: MapId
    layers: list[list[list[int]]]


class RankCounts(NamedTuple):
    """Tokens of a step that a rank worked through, by layer and slot.

    Attributes
    ----------
    busy_us : int
        Time of a step in which the rank worked, waiting left out.
    """

    rank: int
    busy_us: int
    tokens: list[list[int]]


@message(210)
class GetExpertCounts:
    """Asks a host for the counts of its ranks since it was last asked.

    Attributes
    ----------
    accepts_packed : bool
        Whether the sender understands counts that are packed.
    """

    group: str
    accepts_packed: bool = False


@message(211)
class ExpertCounts:
    """Mean counts of a host's ranks, for the steps up to ``step`` on one map.

    Attributes
    ----------
    n_slots : int
        Slots of a rank and layer, if the counts are packed.
    packed : bytes
        Tokens of all ranks, see `pack_counts`; each rank's own are empty then.
    """

    step: int
    map_id: MapId
    ranks: list[RankCounts]
    n_slots: int = 0
    packed: bytes = b""

    def unpack_ranks(self) -> list[RankCounts]:
        """Return the counts with the tokens of each rank; raises `DecodeError`."""
        if not self.packed:
            return self.ranks
        tokens = unpack_counts(self.packed, len(self.ranks), self.n_slots)
        return [
            counts._replace(tokens=found)
            for counts, found in zip(self.ranks, tokens, strict=True)
        ]

    def to_packed(self) -> ExpertCounts:
        """Return the same counts, packed if all ranks have the same slots."""
        sizes = {len(slots) for counts in self.ranks for slots in counts.tokens}
        n_layers = {len(counts.tokens) for counts in self.ranks}
        if len(sizes) != 1 or len(n_layers) != 1:
            return self
        ranks = [counts._replace(tokens=[]) for counts in self.ranks]
        packed = pack_counts(counts.tokens for counts in self.ranks)
        return ExpertCounts(self.step, self.map_id, ranks, sizes.pop(), packed)
