"""Tells which processes have a revision of the configuration in force."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import trio

from ...errors import CallRefused, PeerTimeout, PeerUnreachable
from ...protocol import Peers, ProcessIdentity
from ...protocol.configuration import RolloutRequest
from .members import MembersView
from .publisher import Publisher
from .sources import readers_of

__all__ = ["Rollout", "gather_revisions", "gather_rollout", "rollout_of"]

REPORT_TIMEOUT_MS = 1500.0


class Rollout(NamedTuple):
    """How far a revision has come.

    Attributes
    ----------
    n_live : int
        Processes that are taken to be live.
    n_in_force : int
        How many of them have reported the revision or a greater one.
    behind : list of str
        Names of the others.
    """

    n_live: int
    n_in_force: int
    behind: list[str]


def rollout_of(
    revision: int, live: Sequence[str], revisions: Mapping[str, int]
) -> Rollout:
    """Return how far a revision has come; who did not report counts as behind.

    Examples
    --------
    >>> rollout_of(7, ["a", "b", "c"], {"a": 7, "b": 6, "gone": 7})
    Rollout(n_live=3, n_in_force=1, behind=['b', 'c'])
    """
    behind = [name for name in sorted(live) if revisions.get(name, 0) < revision]
    return Rollout(len(live), len(live) - len(behind), behind)


async def gather_rollout(
    peers: Peers, publisher: Publisher, members: MembersView, revision: int
) -> Rollout:
    """Return how far a revision has come over the whole deployment."""
    revisions = await gather_revisions(peers, publisher, members)
    live = [member.identity.name for member in members.live()]
    return rollout_of(revision, live, revisions)


async def gather_revisions(
    peers: Peers, publisher: Publisher, members: MembersView
) -> dict[str, int]:
    """Ask the readers of every data centre what is in force below them, by name."""
    entries = [member.identity for member in members.live("entry")]
    data_centres = sorted({entry.data_centre for entry in entries})
    readers = {name for dc in data_centres for name in readers_of(dc, entries)}
    revisions = dict(publisher.rollout_report().revisions)

    async def ask(entry: ProcessIdentity) -> None:
        try:
            report = await peers.call(
                entry.address, RolloutRequest(), REPORT_TIMEOUT_MS
            )
        except (PeerTimeout, PeerUnreachable, CallRefused):
            return
        for name, its_revision in report.revisions:
            revisions[name] = max(its_revision, revisions.get(name, 0))

    async with trio.open_nursery() as nursery:
        for entry in entries:
            if entry.name in readers and entry.name != peers.identity.name:
                nursery.start_soon(ask, entry)
    return revisions
