"""The configuration that a process has applied."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import trio
import xxhash

from .resources import DRAIN_KIND, Resource

__all__ = ["Changes", "ConfigurationView", "drained_hosts"]

MAX_LOGGED_CHANGES = 2048
DIGEST_MASK = (1 << 64) - 1


class Changes(NamedTuple):
    """Every change after one revision up to another, oldest first."""

    from_revision: int
    to_revision: int
    resources: list[Resource]


class ConfigurationView:
    """The configuration that a process has applied.

    It always equals the store's content at one revision, and that revision only
    increases. A message that was delayed, duplicated or sent by a process that was
    suspended can therefore neither revert a resource nor restore a deleted one, and no
    tombstones are needed: a resource that is not in a snapshot does not exist.

    Attributes
    ----------
    revision : int
        Every change up to this revision of the store is applied.
    digest : int
        Equal for two views with the same resources at the same versions.
    n_changes : int
        Increases with each change of the resources.
    on_change : list of callable
        Called after each change of the resources.

    Examples
    --------
    >>> view = ConfigurationView()
    >>> share = Resource("workspaces", "ateliers", 7, {"share": 1.0})
    >>> view.apply_snapshot(9, [share])
    True
    >>> view.apply_changes(Changes(4, 8, [share._replace(version=8)]))
    False
    >>> view.revision, view.version("workspaces", "ateliers")
    (9, 7)
    """

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0
        self.n_changes = 0
        self.on_change: list[Callable[[], None]] = []
        self._resources: dict[tuple[str, str], Resource] = {}
        self._log: deque[Resource] = deque()
        self._log_start = 0
        self._changed = trio.Event()

    def apply(self, resource: Resource) -> bool:
        """Apply the change that follows the view's revision, if it is newer."""
        changes = Changes(self.revision, resource.version, [resource])
        return self.apply_changes(changes)

    def apply_changes(self, changes: Changes) -> bool:
        """Apply changes if they are contiguous and newer; returns whether they were."""
        if not changes.from_revision <= self.revision < changes.to_revision:
            return False
        newer = [r for r in changes.resources if r.version > self.revision]
        for resource in newer:
            self._put(resource)
            self._log.append(resource)
        while len(self._log) > MAX_LOGGED_CHANGES:
            self._log_start = self._log.popleft().version
        self._advance(changes.to_revision, has_changes=bool(newer))
        return True

    def apply_snapshot(self, revision: int, resources: Iterable[Resource]) -> bool:
        """Apply the whole content at a revision if newer; returns whether it was."""
        if revision <= self.revision:
            return False
        old_digest = self.digest
        self._resources.clear()
        self.digest = 0
        for resource in resources:
            self._put(resource)
        self._discard_log(revision)
        self._advance(revision, has_changes=old_digest != self.digest)
        return True

    def confirm(self, revision: int) -> None:
        """Record that the content is unchanged at a later revision."""
        if revision > self.revision:
            # The log lacks resources that were created and deleted in between.
            self._discard_log(revision)
            self._advance(revision, has_changes=False)

    def changes_after(self, revision: int) -> Changes | None:
        """Return the changes after a revision, or None if a snapshot is needed."""
        if not self._log_start <= revision <= self.revision:
            return None
        newer: list[Resource] = []
        for resource in reversed(self._log):
            if resource.version <= revision:
                break
            newer.append(resource)
        return Changes(revision, self.revision, newer[::-1])

    async def wait_for_newer(self, revision: int) -> None:
        """Wait until the view's revision is greater than the given one."""
        while self.revision <= revision:
            await self._changed.wait()

    def get(self, kind: str, name: str) -> Any:
        """Return a resource's spec, or None if there is no such resource."""
        found = self._resources.get((kind, name))
        return None if found is None else found.spec

    def version(self, kind: str, name: str) -> int:
        """Return a resource's version, 0 if there is none."""
        found = self._resources.get((kind, name))
        return 0 if found is None else found.version

    def all(self, kind: str | None = None) -> list[Resource]:
        """Return every resource of a kind, or of every kind."""
        return [
            resource
            for resource in self._resources.values()
            if kind is None or resource.kind == kind
        ]

    def specs(self, kind: str) -> Iterable[tuple[str, Any]]:
        """Yield name and spec of every resource of a kind."""
        for (found_kind, name), resource in self._resources.items():
            if found_kind == kind:
                yield name, resource.spec

    def _put(self, resource: Resource) -> None:
        key = (resource.kind, resource.name)
        found = self._resources.pop(key, None)
        if found is not None:
            self.digest = (self.digest - _digest(found)) & DIGEST_MASK
        if resource.spec is not None:
            self._resources[key] = resource
            self.digest = (self.digest + _digest(resource)) & DIGEST_MASK

    def _discard_log(self, revision: int) -> None:
        self._log.clear()
        self._log_start = revision

    def _advance(self, revision: int, *, has_changes: bool) -> None:
        self.revision = revision
        self._changed.set()
        self._changed = trio.Event()
        if has_changes:
            self.n_changes += 1
            for callback in self.on_change:
                callback()


def drained_hosts(view: ConfigurationView) -> frozenset[str]:
    """Return the names of the hosts that operators are draining."""
    return frozenset(name for name, _ in view.specs(DRAIN_KIND))


def _digest(resource: Resource) -> int:
    text = f"{resource.kind}\0{resource.name}\0{resource.version}"
    return xxhash.xxh3_64_intdigest(text.encode())
