"""Keeps the configuration that a process has in force up to date."""

from __future__ import annotations

import trio

from ..errors import ConflictError, StoreUnavailable
from ..state import KINDS, ConfigurationView, ObjectStore
from ..state.resources import resource_of
from ..telemetry import get_logger

__all__ = ["ConfigurationFollower"]

RETRY_PAUSE_S = 0.5

log = get_logger("configuration")


class ConfigurationFollower:
    """Reads the configuration from the object API and watches its changes.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    view : ConfigurationView
        Where changes are put in force.
    """

    def __init__(self, store: ObjectStore, view: ConfigurationView):
        self.ready = trio.Event()
        self._store = store
        self._view = view
        self._n_listed = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow every kind."""
        for kind in KINDS:
            nursery.start_soon(self._follow, kind)

    async def _follow(self, kind: str) -> None:
        listed = False
        while True:
            try:
                revision = await self._list(kind)
                if not listed:
                    listed = True
                    self._note_listed()
                async for event in self._store.watch(kind, revision):
                    self._view.apply(resource_of(event.object, event.deleted))
                    self._view.advance(event.object.version)
            except (StoreUnavailable, ConflictError) as error:
                log.info("configuration.watch_lost", kind=kind, reason=str(error))
            await trio.sleep(RETRY_PAUSE_S)

    async def _list(self, kind: str) -> int:
        revision, items = await self._store.list(kind)
        for item in items:
            self._view.apply(resource_of(item))
        self._view.advance(revision)
        return revision

    def _note_listed(self) -> None:
        self._n_listed += 1
        if self._n_listed == len(KINDS):
            self.ready.set()
