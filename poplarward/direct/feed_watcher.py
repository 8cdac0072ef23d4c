"""Keeps a copy of objects in the platform's store up to date."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..errors import RevisionTooOld, StoreUnavailable
from ..state.budget import Backoff
from ..telemetry.logs import get_logger
from .clock import elapsed_ms, now_ms
from .ports import Feed, FeedChange

__all__ = ["FeedWatcher"]

log = get_logger("feed")

BATCH_DELAY_S = 0.15  # Changes that come together take one call.
MAX_BATCH_DELAY_S = (
    0.6  # In a long series; well within the bounds on acting on a change.
)
RECOVERY_WINDOW_MS = 3_000.0  # Entries that lapsed in an outage return in about 2 s.


class FeedWatcher:
    """Lists a feed, then waits for its changes, for ever.

    Attributes
    ----------
    confirmed_at_ms : float or None
        When the store last said that nothing newer exists, as `now_ms`.
    is_recovering : bool
        Whether the store has come back only just now, so that entries may be missing
        that will return.

    Parameters
    ----------
    name : str
        For the log.
    feed : Feed
    wait_ms : int
        How long the store holds a call without changes. It bounds how long a
        connection that has fallen silent goes unnoticed.
    apply_list, apply_change : callable
        Take all objects by name, and one change.
    backoff : Backoff
    confirm_wait_ms : int, optional
        How long the call after a change is held. The answer with a change may be as
        old as its call, so a short one tells sooner that nothing newer exists.
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
        self._lost_at_ms: float | None = None
        self._returned_at_ms = float("-inf")

    @property
    def is_recovering(self) -> bool:
        """Whether the store has come back only just now."""
        return elapsed_ms(self._returned_at_ms) < RECOVERY_WINDOW_MS

    def age_ms(self) -> float:
        """Return how long ago the store confirmed what is held."""
        if self.confirmed_at_ms is None:
            return float("inf")
        return elapsed_ms(self.confirmed_at_ms)

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        revision: int | None = None
        wait_ms = self._wait_ms
        gather_s = BATCH_DELAY_S
        while True:
            try:
                if revision is None:
                    revision = await self._list()
                else:
                    revision, n_changes = await self._take_changes(revision, wait_ms)
                    wait_ms = self._confirm_wait_ms if n_changes else self._wait_ms
                    if n_changes:
                        await trio.sleep(gather_s)
                    gather_s = (
                        min(2 * gather_s, MAX_BATCH_DELAY_S)
                        if n_changes
                        else BATCH_DELAY_S
                    )
                self._note_store()
            except RevisionTooOld:
                log.info("feed.history_dropped", feed=self._name, revision=revision)
                revision = None
            except StoreUnavailable as error:
                self._note_no_store(str(error))
                wait_ms = self._confirm_wait_ms
                await self._backoff.wait()

    async def _list(self) -> int:
        sent_at_ms = now_ms()
        listing = await self._feed.list()
        self._note_return()
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
        answer = await self._feed.changes(revision, wait_ms)
        self._note_return()
        for change in answer.changes:
            self._apply_change(change)
        if answer.changes:
            self.confirmed_at_ms = sent_at_ms
        else:
            # Without changes the answer was made after the whole waiting time.
            waited_ms = min(elapsed_ms(sent_at_ms), wait_ms)
            self.confirmed_at_ms = sent_at_ms + waited_ms
        return answer.revision, len(answer.changes)

    def _note_return(self) -> None:
        if self._lost_at_ms is not None:
            self._returned_at_ms = now_ms()

    def _note_store(self) -> None:
        self._backoff.reset()
        if self._lost_at_ms is None:
            return
        log.info(
            "feed.regained", feed=self._name, away_ms=int(elapsed_ms(self._lost_at_ms))
        )
        self._lost_at_ms = None

    def _note_no_store(self, reason: str) -> None:
        if self._lost_at_ms is None:
            self._lost_at_ms = now_ms()
            log.warning(
                "feed.lost",
                feed=self._name,
                reason=reason,
                age_ms=_rounded(self.age_ms()),
            )


def _rounded(age_ms: float) -> int | None:
    return None if age_ms == float("inf") else int(age_ms)
