"""The record of a group's expert map in the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from ...errors import ConflictError, NotFound
from ...protocol.expert_maps import MapId
from ...state import (
    FORMAT_KEY,
    ObjectStore,
    StoredObject,
    Writer,
    check_format,
    format_of,
)
from ...state.writer import OPERATIONS_KEY

__all__ = ["MapRecord", "RecordedMap"]

KIND = "expertmaps"
FORMAT_VERSION = 1
WRITE_TIMEOUT_MS = 2000.0
KNOWN_KEYS = frozenset({FORMAT_KEY, "map_id", "layers", OPERATIONS_KEY})


class RecordedMap(NamedTuple):
    """A map as recorded in the store."""

    map_id: MapId
    layers: tuple[tuple[tuple[int, ...], ...], ...]


class MapRecord:
    """Reads and writes the record of one group.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    writer : Writer
        Writer to the same store.
    group : str
        Name of the model group.
    """

    def __init__(self, store: ObjectStore, writer: Writer, group: str):
        self._store = store
        self._writer = writer
        self._group = group

    async def read(self) -> RecordedMap | None:
        """Return the recorded map, None if there is none.

        Raises `StoreUnavailable`.
        """
        stored = await self._read()
        return None if stored is None else _parse_recorded_map(stored)

    async def write(self, recorded: RecordedMap) -> None:
        """Record a map unless the store has the same or a later one.

        Raises `StoreUnavailable` or `WriteUnknown`. The operation is idempotent.
        """
        while True:
            stored = await self._read()
            if (
                stored is not None
                and _parse_recorded_map(stored).map_id >= recorded.map_id
            ):
                return
            spec = {
                FORMAT_KEY: FORMAT_VERSION,
                **_unknown_fields(stored),
                "map_id": list(recorded.map_id),
                "layers": _as_lists(recorded.layers),
            }
            version = 0 if stored is None else stored.version
            try:
                await self._writer.put(
                    KIND, self._group, spec, version, WRITE_TIMEOUT_MS
                )
            except ConflictError:
                continue
            return

    async def _read(self) -> StoredObject | None:
        try:
            stored = await self._store.get(KIND, self._group)
        except NotFound:
            return None
        check_format(f"the map record of {self._group}", stored.spec, FORMAT_VERSION)
        return stored


def _parse_recorded_map(stored: StoredObject) -> RecordedMap:
    layers = tuple(
        tuple(tuple(row) for row in layer) for layer in stored.spec["layers"]
    )
    return RecordedMap(MapId(*stored.spec["map_id"]), layers)


def _unknown_fields(stored: StoredObject | None) -> dict[str, Any]:
    """Return the fields that a later release added to a record, with its format."""
    if stored is None:
        return {}
    unknown = {k: v for k, v in stored.spec.items() if k not in KNOWN_KEYS}
    return {**unknown, FORMAT_KEY: max(FORMAT_VERSION, format_of(stored.spec))}


def _as_lists(layers: Sequence[Sequence[Sequence[int]]]) -> list[list[list[int]]]:
    return [[list(row) for row in layer] for layer in layers]
