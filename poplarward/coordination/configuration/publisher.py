"""Serves pulls of other processes and pushes changes to followers."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import trio
import xxhash

from ...errors import PeerUnreachable
from ...protocol import Connection, Peers
from ...protocol.configuration import (
    ConfigurationPull,
    RolloutReport,
    RolloutRequest,
    SubtreeReport,
)
from ...state import ConfigurationView
from .exchange import SnapshotServer, delta_after

__all__ = ["Publisher", "names_digest"]

FOLLOWER_TIMEOUT_S = 5.0
DIGEST_MASK = (1 << 64) - 1


def names_digest(names: list[str]) -> int:
    """Return a digest of names that does not depend on their order."""
    return sum(xxhash.xxh3_64_intdigest(name.encode()) for name in names) & DIGEST_MASK


class _Follower:
    """A process that receives the configuration from this one over a connection."""

    def __init__(self, connection: Connection):
        self.connection = connection
        self.scope = trio.CancelScope()
        self.sent_revision = 0
        self.revision = 0
        self.last_pull_s = 0.0
        self.children: list[str] = []
        self.children_digest = 0
        self.behind: dict[str, int] = {}

    def apply_report(self, pull: ConfigurationPull) -> bool:
        """Store the report of a pull; returns whether the names are needed."""
        self.revision = pull.revision
        self.last_pull_s = trio.current_time()
        report = pull.report
        if report is None:
            return False
        if report.children is not None:
            self.children = report.children
            self.children_digest = report.children_digest
        self.behind = dict(report.behind)
        return report.children_digest != self.children_digest

    def revisions(self) -> dict[str, int]:
        """Return the revisions applied by the follower and its own followers."""
        found = {name: self.behind.get(name, self.revision) for name in self.children}
        found[self.connection.identity.name] = self.revision
        return found


class Publisher:
    """Publishes a process's view to other processes.

    Parameters
    ----------
    peers : Peers
        Connections to other processes.
    view : ConfigurationView
        The view to publish.
    is_ready : callable
        Returns whether the view is complete.
    """

    def __init__(
        self, peers: Peers, view: ConfigurationView, is_ready: Callable[[], bool]
    ):
        self._name = peers.identity.name
        self._view = view
        self._is_ready = is_ready
        self._snapshots = SnapshotServer(view)
        self._followers: dict[str, _Follower] = {}
        self._nursery: trio.Nursery | None = None
        peers.register(ConfigurationPull, self._on_pull)
        peers.register(RolloutRequest, self._on_rollout_request)
        peers.on_lost.append(self._on_lost)

    def start(self, nursery: trio.Nursery) -> None:
        """Start to push to followers, in tasks of a nursery."""
        self._nursery = nursery

    @property
    def n_followers(self) -> int:
        """Number of processes that follow this one."""
        return len(self._followers)

    def report(self, *, with_names: bool) -> SubtreeReport:
        """Return the report about the followers for this process's source."""
        revisions = self.subtree_revisions()
        names = sorted(revisions)
        own = self._view.revision
        behind = [(name, r) for name, r in sorted(revisions.items()) if r < own]
        return SubtreeReport(names_digest(names), names if with_names else None, behind)

    def subtree_revisions(self) -> dict[str, int]:
        """Return the revisions applied in the subtree of followers, by name."""
        found: dict[str, int] = {}
        oldest_s = trio.current_time() - FOLLOWER_TIMEOUT_S
        for follower in self._followers.values():
            if follower.last_pull_s >= oldest_s:
                for name, revision in follower.revisions().items():
                    found[name] = max(revision, found.get(name, 0))
        return found

    async def _on_pull(self, connection: Connection, pull: ConfigurationPull) -> Any:
        wants_children = False
        if pull.is_following:
            wants_children = self._follower(connection).apply_report(pull)
        reply = self._snapshots.answer(pull, is_ready=self._is_ready())
        return dataclasses.replace(reply, wants_children=wants_children)

    def _follower(self, connection: Connection) -> _Follower:
        name = connection.identity.name
        known = self._followers.get(name)
        if known is not None and known.connection is connection:
            return known
        if known is not None:
            known.scope.cancel()
        follower = self._followers[name] = _Follower(connection)
        follower.sent_revision = self._view.revision
        if self._nursery is not None:
            self._nursery.start_soon(self._push, follower)
        return follower

    async def _push(self, follower: _Follower) -> None:
        """Send each change to a follower until it disconnects or stops pulling."""
        view = self._view
        with follower.scope:
            while True:
                await view.wait_for_newer(follower.sent_revision)
                silent_s = trio.current_time() - follower.last_pull_s
                if silent_s > FOLLOWER_TIMEOUT_S:
                    break
                # If there is no delta, the follower's next pull gets a snapshot.
                start = max(follower.sent_revision, follower.revision)
                delta = delta_after(view, start, is_ready=self._is_ready())
                follower.sent_revision = view.revision
                if delta is not None and delta.records:
                    follower.sent_revision = delta.to_revision
                    try:
                        await follower.connection.notify(delta)
                    except PeerUnreachable:
                        break
        self._drop(follower)

    def _on_lost(self, connection: Connection) -> None:
        follower = self._followers.get(connection.identity.name)
        if follower is not None and follower.connection is connection:
            follower.scope.cancel()
            self._drop(follower)

    def _drop(self, follower: _Follower) -> None:
        name = follower.connection.identity.name
        if self._followers.get(name) is follower:
            del self._followers[name]

    async def _on_rollout_request(
        self, connection: Connection, request: RolloutRequest
    ) -> RolloutReport:
        return self.rollout_report()

    def rollout_report(self) -> RolloutReport:
        """Return the revisions applied by this process and its subtree."""
        revisions = self.subtree_revisions()
        revisions[self._name] = self._view.revision
        return RolloutReport(sorted(revisions.items()))
