"""Collection of the votes on an attempt, and announcement of its decision.

A vote of `Vote.READY` or `Vote.NO` is final, and the decision is a function of the
votes. Every process that collects them therefore reaches the same decision, whether
it is the coordinator, a later coordinator, or a host that is held at the step.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import trio

from ...errors import CallRefused, PeerTimeout, PeerUnreachable
from ...protocol import Peers
from ...protocol.expert_maps import (
    AskVote,
    Decided,
    Decision,
    MapId,
    Member,
    Vote,
    VoteReply,
)
from ...transport import Address

__all__ = ["announce_decision", "collect_votes", "decide"]

VOTE_TIMEOUT_MS = 500.0


def decide(votes: Iterable[Vote]) -> Decision | None:
    """Return the decision that the members' votes determine, None if undetermined.

    Examples
    --------
    >>> decide([Vote.READY, Vote.READY])
    <Decision.COMMIT: 'commit'>
    >>> decide([Vote.READY, Vote.UNKNOWN, Vote.NO])
    <Decision.ABORT: 'abort'>
    >>> decide([Vote.READY, Vote.UNKNOWN]) is None
    True
    """
    given = set(votes)
    if Vote.COMMITTED in given:
        return Decision.COMMIT
    if Vote.NO in given:
        return Decision.ABORT
    return Decision.COMMIT if given == {Vote.READY} else None


async def collect_votes(
    peers: Peers, group: str, map_id: MapId, members: Sequence[Member]
) -> list[Vote]:
    """Request the vote of every member; `Vote.UNKNOWN` means no response."""
    votes = [Vote.UNKNOWN] * len(members)

    async def query_member(index: int) -> None:
        votes[index] = await _query_vote(peers, AskVote(group, map_id), members[index])

    async with trio.open_nursery() as nursery:
        for index in range(len(members)):
            nursery.start_soon(query_member, index)
    return votes


async def _query_vote(peers: Peers, request: AskVote, member: Member) -> Vote:
    with trio.move_on_after(VOTE_TIMEOUT_MS / 1000):
        try:
            connection = await peers.connection(Address.parse(member.peers_address))
            if connection.identity.name != member.name:
                # The address now belongs to another host.
                return Vote.UNKNOWN
            reply = await connection.call(request, VOTE_TIMEOUT_MS)
        except (PeerUnreachable, PeerTimeout, CallRefused):
            return Vote.UNKNOWN
        if isinstance(reply, VoteReply) and reply.map_id == request.map_id:
            return reply.vote
    return Vote.UNKNOWN


async def announce_decision(
    peers: Peers,
    group: str,
    map_id: MapId,
    decision: Decision,
    members: Sequence[Member],
) -> None:
    """Send the decision to every reachable member."""

    async def notify_member(member: Member) -> None:
        with trio.move_on_after(VOTE_TIMEOUT_MS / 1000):
            try:
                address = Address.parse(member.peers_address)
                await peers.notify(address, Decided(group, map_id, decision))
            except PeerUnreachable:
                # The member collects the votes itself.
                pass

    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(notify_member, member)
