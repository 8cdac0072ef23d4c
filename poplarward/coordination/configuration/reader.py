"""Reads the configuration from the object API and watches its changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import aclosing

import trio

from ...errors import ConflictError, StoreUnavailable
from ...state import STORE_KIND, ConfigurationView, ObjectStore, resource_of
from ...telemetry import get_logger

__all__ = ["StoreReader", "retry_backoff_s"]

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 3.0
ROLE_CHECK_INTERVAL_S = 1.0

log = get_logger("configuration.reader")


def retry_backoff_s(n_failures: int, rng: random.Random) -> float:
    """Return the backoff after consecutive failures: exponential, with jitter."""
    max_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (n_failures - 1))
    return max_s * (0.5 + 0.5 * rng.random())


class StoreReader:
    """Applies the object API's content and changes to a view.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    view : ConfigurationView
        View that changes are applied to.
    rng : random.Random
        Source of the jitter of retries.

    Attributes
    ----------
    has_failed : bool
        Whether the last call to the object API failed.
    """

    def __init__(self, store: ObjectStore, view: ConfigurationView, rng: random.Random):
        self.has_failed = False
        self._store = store
        self._view = view
        self._rng = rng
        self._n_failures = 0

    async def list_until(self, ready: trio.Event) -> None:
        """Read all resources once, with retries until the event is set."""
        while not ready.is_set():
            try:
                await self._list()
                return
            except StoreUnavailable as error:
                await self._back_off(error)

    async def run(self, is_reader: Callable[[], bool]) -> None:
        """Watch the object API whenever this process is a reader."""
        while True:
            if not is_reader():
                await trio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_unless, is_reader, nursery.cancel_scope)
                await self._watch_until_lost()
                nursery.cancel_scope.cancel()

    async def _cancel_unless(
        self, is_reader: Callable[[], bool], scope: trio.CancelScope
    ) -> None:
        while is_reader():
            await trio.sleep(ROLE_CHECK_INTERVAL_S)
        scope.cancel()

    async def _watch_until_lost(self) -> None:
        try:
            if self._view.revision == 0:
                await self._list()
            await self._watch()
        except ConflictError:
            # The store no longer has the changes since this revision.
            await self._relist()
        except StoreUnavailable as error:
            await self._back_off(error)

    async def _watch(self) -> None:
        watch = self._store.watch(STORE_KIND, self._view.revision)
        async with aclosing(watch) as events:
            async for event in events:
                self._n_failures = 0
                self.has_failed = False
                self._view.apply(resource_of(event.object, event.deleted))
        raise StoreUnavailable("the watch ended")

    async def _relist(self) -> None:
        try:
            await self._list()
        except StoreUnavailable as error:
            await self._back_off(error)

    async def _list(self) -> None:
        revision, items = await self._store.list(STORE_KIND)
        self._n_failures = 0
        self.has_failed = False
        resources = [resource_of(item) for item in items]
        self._view.apply_snapshot(revision, resources)

    async def _back_off(self, error: Exception) -> None:
        self.has_failed = True
        self._n_failures += 1
        backoff_s = retry_backoff_s(self._n_failures, self._rng)
        log.info("store.unreadable", reason=str(error), retry_after_ms=backoff_s * 1000)
        await trio.sleep(backoff_s)
