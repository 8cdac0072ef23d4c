"""Conversion of a view to replies to pulls, and of replies to changes of a view."""

from __future__ import annotations

from collections.abc import Iterable

import cbor2

from ...protocol.configuration import (
    ConfigurationDelta,
    ConfigurationPull,
    ConfigurationUnchanged,
    ResourceRecord,
    SnapshotChunk,
)
from ...state import Changes, ConfigurationView, Resource

__all__ = ["SnapshotAssembler", "SnapshotServer", "apply_delta", "delta_after"]

MAX_CHUNK_BYTES = 64 * 1024

Reply = ConfigurationUnchanged | ConfigurationDelta | SnapshotChunk


def _resources_of(records: Iterable[ResourceRecord]) -> list[Resource]:
    """Return the resources in a message."""
    return [Resource(*record) for record in records]


def delta_after(
    view: ConfigurationView, revision: int, *, is_ready: bool
) -> ConfigurationDelta | None:
    """Return the changes after a revision, as many as fit into a message.

    Returns None if the changes are no longer known, so that a snapshot is needed.
    """
    changes = view.changes_after(revision)
    if changes is None:
        return None
    records = [ResourceRecord(*resource) for resource in changes.resources]
    batch = next(_split_by_size(records), [])
    is_complete = len(batch) == len(records)
    to_revision = changes.to_revision if is_complete else batch[-1].version
    return ConfigurationDelta(revision, to_revision, batch, view.revision, is_ready)


def _split_by_size(records: list[ResourceRecord]) -> Iterable[list[ResourceRecord]]:
    part: list[ResourceRecord] = []
    n_bytes = 0
    for record in records:
        size = len(cbor2.dumps(record))
        if part and n_bytes + size > MAX_CHUNK_BYTES:
            yield part
            part, n_bytes = [], 0
        part.append(record)
        n_bytes += size
    if part:
        yield part


class SnapshotServer:
    """Serves snapshots of a view in parts, and caches the last one for later parts.

    Parameters
    ----------
    view : ConfigurationView
        The view to serve.
    """

    def __init__(self, view: ConfigurationView):
        self._view = view
        self._revision = 0
        self._parts: list[list[ResourceRecord]] = []

    def answer(self, pull: ConfigurationPull, *, is_ready: bool) -> Reply:
        """Return the reply to a pull: unchanged, a delta or a part of a snapshot."""
        view = self._view
        if pull.chunk and pull.snapshot_revision == self._revision:
            return self._part(pull.chunk, is_ready)
        is_same = pull.digest == view.digest
        if is_same or pull.revision >= view.revision:
            return ConfigurationUnchanged(view.revision, is_same, is_ready)
        delta = delta_after(view, pull.revision, is_ready=is_ready)
        if delta is not None:
            return delta
        if self._revision != view.revision:
            self._split_snapshot()
        return self._part(0, is_ready)

    def _split_snapshot(self) -> None:
        records = [ResourceRecord(*resource) for resource in self._view.all()]
        self._parts = list(_split_by_size(records)) or [[]]
        self._revision = self._view.revision

    def _part(self, index: int, is_ready: bool) -> SnapshotChunk:
        n_parts = len(self._parts)
        records = self._parts[index] if index < n_parts else []
        return SnapshotChunk(self._revision, index, n_parts, records, is_ready)


class SnapshotAssembler:
    """Assembles the parts of one snapshot and applies them together."""

    def __init__(self, view: ConfigurationView):
        self._view = view
        self._revision = 0
        self._records: list[ResourceRecord] = []
        self._n_parts = 0

    @property
    def position(self) -> tuple[int, int]:
        """Revision and index of the next part; both 0 between snapshots."""
        return (self._revision, self._n_parts) if self._n_parts else (0, 0)

    def add(self, part: SnapshotChunk) -> bool:
        """Add a part; returns whether the snapshot is complete and was applied."""
        if part.chunk == 0:
            self._revision = part.revision
            self._records = []
            self._n_parts = 0
        if (part.revision, part.chunk) != (self._revision, self._n_parts):
            self.reset()
            return False
        self._records.extend(part.records)
        self._n_parts += 1
        if self._n_parts < part.n_chunks:
            return False
        self._view.apply_snapshot(self._revision, _resources_of(self._records))
        self.reset()
        return True

    def reset(self) -> None:
        """Discard the parts collected so far."""
        self._revision = 0
        self._records = []
        self._n_parts = 0


def apply_delta(view: ConfigurationView, delta: ConfigurationDelta) -> bool:
    """Apply a delta if it is contiguous and newer; returns whether it was applied."""
    resources = _resources_of(delta.records)
    changes = Changes(delta.from_revision, delta.to_revision, resources)
    return view.apply_changes(changes)
