"""Rollout status: which processes have applied a configuration revision."""

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
    """Rollout status of a revision.

    Attributes
    ----------
    n_live : int
        Number of processes that are regarded as live.
    n_in_force : int
        Number of live processes that have reported this revision or a greater one.
    behind : list of str
        Names of the other live processes.
    """

    n_live: int
    n_in_force: int
    behind: list[str]


def rollout_of(
    revision: int, live: Sequence[str], revisions: Mapping[str, int]
) -> Rollout:
    """Return the rollout status; processes that did not report count as behind.

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
    """Return the rollout status of a revision in the whole deployment."""
    revisions = await gather_revisions(peers, publisher, members)
    live = [member.identity.name for member in members.live()]
    return rollout_of(revision, live, revisions)


async def gather_revisions(
    peers: Peers, publisher: Publisher, members: MembersView
) -> dict[str, int]:
    """Query the readers of every data centre; returns applied revisions by name."""
    entry_hosts = [member.identity for member in members.live("entry")]
    data_centres = sorted({entry_host.data_centre for entry_host in entry_hosts})
    readers = {name for dc in data_centres for name in readers_of(dc, entry_hosts)}
    revisions = dict(publisher.rollout_report().revisions)

    async def query_reader(entry_host: ProcessIdentity) -> None:
        try:
            report = await peers.call(
                entry_host.address, RolloutRequest(), REPORT_TIMEOUT_MS
            )
        except (PeerTimeout, PeerUnreachable, CallRefused):
            return
        for name, reported_revision in report.revisions:
            revisions[name] = max(reported_revision, revisions.get(name, 0))

    async with trio.open_nursery() as nursery:
        for entry_host in entry_hosts:
            if entry_host.name in readers and entry_host.name != peers.identity.name:
                nursery.start_soon(query_reader, entry_host)
    return revisions
