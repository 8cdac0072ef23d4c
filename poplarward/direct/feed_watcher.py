"""Keeps a local copy of objects in the platform's store up to date."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..errors import RevisionTooOld, StoreInterrupted, StoreUnavailable
from ..state.budget import Backoff
from ..telemetry.logs import get_logger
from .clock import elapsed_ms, now_ms
from .ports import Feed, FeedChange

__all__ = ["FeedWatcher"]

log = get_logger("feed")

BATCH_DELAY_S = 0.15  # Changes in quick succession are read with one call.
# In a long series of changes; well within the time limits for acting on a change.
MAX_BATCH_DELAY_S = 0.6
# Entries that expired during an outage are written again in about 2 s.
RECOVERY_WINDOW_MS = 3_000.0


class FeedWatcher:
    """Lists the objects of a feed, then watches it for changes until cancelled.

    Attributes
    ----------
    confirmed_at_ms : float or None
        Time of `now_ms` at which the store last confirmed that nothing newer exists.
    is_recovering : bool
        Whether the store has recovered only just now, so that missing entries may still
        be written again.

    Parameters
    ----------
    name : str
        Name of the feed in the log.
    feed : Feed
    wait_ms : int
        How long the store holds a call while there are no changes. It limits how long
        a dead connection goes unnoticed.
    apply_list, apply_change : callable
        Called with all objects by name, and with one change.
    backoff : Backoff
    confirm_wait_ms : int, optional
        How long the store holds the call after a change. A response with changes only
        proves that the copy was current when its call began, so a short call afterwards
        confirms sooner that nothing newer exists.
    """

    def __init__(
        self,
        name: str,
        feed: Feed,
        wait_ms: int,
        apply_list: Callable[[dict], None],
        apply_change: Callable[[FeedChange], None],
        backoff: Backoff,
        confirm_wait_ms: int | None = None,
    ):
        self._confirm_wait_ms = confirm_wait_ms or wait_ms
        self.confirmed_at_ms: float | None = None
        self._name = name
        self._feed = feed
        self._wait_ms = wait_ms
        self._apply_list = apply_list
        self._apply_change = apply_change
        self._backoff = backoff
        self._unavailable_since_ms: float | None = None
        self._recovered_at_ms = float("-inf")
        self._watch_scope = trio.CancelScope()

    @property
    def is_recovering(self) -> bool:
        """Whether the store has recovered only just now."""
        return elapsed_ms(self._recovered_at_ms) < RECOVERY_WINDOW_MS

    def age_ms(self) -> float:
        """Return how long ago the store confirmed that the copy is current."""
        if self.confirmed_at_ms is None:
            return float("inf")
        return elapsed_ms(self.confirmed_at_ms)

    async def run(self) -> None:
        """Watch the feed until cancelled."""
        revision: int | None = None
        wait_ms = self._wait_ms
        batch_delay_s = BATCH_DELAY_S
        while True:
            try:
                if revision is None:
                    revision = await self._list()
                else:
                    n_changes = None
                    with trio.CancelScope() as self._watch_scope:
                        revision, n_changes = await self._take_changes(
                            revision, wait_ms
                        )
                    if n_changes is None:
                        raise StoreInterrupted("a newer object is known to exist")
                    wait_ms = self._confirm_wait_ms if n_changes else self._wait_ms
                    if n_changes:
                        await trio.sleep(batch_delay_s)
                    batch_delay_s = (
                        min(2 * batch_delay_s, MAX_BATCH_DELAY_S)
                        if n_changes
                        else BATCH_DELAY_S
                    )
                self._record_available()
            except RevisionTooOld as error:
                if isinstance(error, StoreInterrupted):
                    self._recovered_at_ms = now_ms()
                log.info(
                    "feed.revision_expired",
                    feed=self._name,
                    revision=revision,
                    reason=str(error),
                )
                revision = None
            except StoreUnavailable as error:
                self._record_unavailable(str(error))
                wait_ms = self._confirm_wait_ms
                await self._backoff.wait()

    def list_again(self) -> None:
        """List all objects instead of waiting for changes any longer."""
        self._watch_scope.cancel()

    async def _list(self) -> int:
        sent_at_ms = now_ms()
        listing = await self._feed.list()
        self._record_recovery()
        self._apply_list(listing.objects)
        self.confirmed_at_ms = sent_at_ms
        log.info(
            "feed.listed",
            feed=self._name,
            revision=listing.revision,
            n_objects=len(listing.objects),
        )
        return listing.revision

    async def _take_changes(self, revision: int, wait_ms: int) -> tuple[int, int]:
        sent_at_ms = now_ms()
        response = await self._feed.changes(revision, wait_ms)
        self._record_recovery()
        for change in response.changes:
            self._apply_change(change)
        if response.changes:
            self.confirmed_at_ms = sent_at_ms
        else:
            # A response without changes was made at the end of the waiting time.
            waited_ms = min(elapsed_ms(sent_at_ms), wait_ms)
            self.confirmed_at_ms = sent_at_ms + waited_ms
        return response.revision, len(response.changes)

    def _record_recovery(self) -> None:
        if self._unavailable_since_ms is not None:
            self._recovered_at_ms = now_ms()

    def _record_available(self) -> None:
        self._backoff.reset()
        if self._unavailable_since_ms is None:
            return
        log.info(
            "feed.recovered",
            feed=self._name,
            outage_ms=int(elapsed_ms(self._unavailable_since_ms)),
        )
        self._unavailable_since_ms = None

    def _record_unavailable(self, reason: str) -> None:
        if self._unavailable_since_ms is None:
            self._unavailable_since_ms = now_ms()
            log.warning(
                "feed.unavailable",
                feed=self._name,
                reason=reason,
                age_ms=_whole_ms(self.age_ms()),
            )


def _whole_ms(age_ms: float) -> int | None:
    return None if age_ms == float("inf") else int(age_ms)
