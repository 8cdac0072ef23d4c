"""The record of a group's expert map in the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ...errors import ConflictError, NotFound
from ...protocol.expert_maps import MapId
from ...state import ObjectStore, Writer

__all__ = ["MapRecord", "RecordedMap"]

KIND = "expertmaps"
FORMAT_VERSION = 1
WRITE_TIMEOUT_MS = 2000.0


class RecordedMap(NamedTuple):
    """A map as the store holds it."""

    map_id: MapId
    layers: tuple[tuple[tuple[int, ...], ...], ...]


class MapRecord:
    """Reads and writes the record of one group.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    writer : Writer
        Writes to the same store.
    group : str
        Name of the model group.
    """

    def __init__(self, store: ObjectStore, writer: Writer, group: str):
        self._store = store
        self._writer = writer
        self._group = group

    async def read(self) -> RecordedMap | None:
        """Return the recorded map, None before the first; raises `StoreUnavailable`."""
        return (await self._read())[1]

    async def write(self, recorded: RecordedMap) -> None:
        """Record a map unless the store holds a later one.

        Raises `StoreUnavailable` or `WriteUnknown`; writing the same map again is
        harmless.
        """
        while True:
            version, held = await self._read()
            if held is not None and held.map_id >= recorded.map_id:
                return
            spec = {
                "format": FORMAT_VERSION,
                "map_id": list(recorded.map_id),
                "layers": _as_lists(recorded.layers),
            }
            try:
                await self._writer.put(
                    KIND, self._group, spec, version, WRITE_TIMEOUT_MS
                )
            except ConflictError:
                continue
            return

    async def _read(self) -> tuple[int, RecordedMap | None]:
        try:
            stored = await self._store.get(KIND, self._group)
        except NotFound:
            return 0, None
        layers = tuple(
            tuple(tuple(row) for row in layer) for layer in stored.spec["layers"]
        )
        return stored.version, RecordedMap(MapId(*stored.spec["map_id"]), layers)


def _as_lists(layers: Sequence[Sequence[Sequence[int]]]) -> list[list[list[int]]]:
    return [[list(row) for row in layer] for layer in layers]
