"""What upstreams ask of an entry host in their responses: to leave them, or to pause.

Load pattern: an upstream that is about to end says so before the registry does, and one
that is overloaded refuses requests with the time after which it wants some again.
Requests that go there all the same are lost with it, or lengthen its overload, and use
up the retry budget, while other upstreams have free slots.

A notice holds for one start of an upstream, also while it is not registered. Other
hosts are not told: an upstream that leaves still serves those that have not heard of
it, and one that asks for a pause asks the host that it has refused.
"""

from __future__ import annotations

from typing import NamedTuple

from ..telemetry.logs import get_logger

__all__ = ["Notice", "NoticeTable", "UpstreamNotices"]

# A longer pause has to be asked for again: the upstream may recover meanwhile.
MAX_PAUSE_MS = 60_000.0
EXPIRY_MS = 60_000.0  # Of the notices of upstreams that are not registered any more.
RECHECK_INTERVAL_MS = 5_000.0  # Upstreams that leave have mostly ended by then.

log = get_logger("notices")


class Notice(NamedTuple):
    """What one response states about further requests.

    Attributes
    ----------
    is_leaving : bool or None
        Whether the upstream is about to end; None if that can't be read.
    pause_ms : float or None
        How long an upstream that refuses wants no requests from this host.
    """

    is_leaving: bool | None = False
    pause_ms: float | None = None


class UpstreamNotices:
    """What one start of an upstream has asked of this host.

    Attributes
    ----------
    is_leaving : bool
        Whether it takes no new requests until it ends.
    paused_until_ms : float
        Before this time it wants none.
    recorded_at_ms : float
        When it last asked for something.

    Examples
    --------
    >>> notices = UpstreamNotices("u-1")
    >>> notices.record(Notice(pause_ms=0.0), sent_at_ms=0.0, at_ms=100.0)
    >>> notices.is_leaving, notices.is_paused(at_ms=100.0)
    (False, False)
    """

    def __init__(self, upstream_id: str):
        self._id = upstream_id
        self.is_leaving = False
        self.paused_until_ms = float("-inf")
        self.recorded_at_ms = float("-inf")
        self._stated_leaving_at_ms = float("-inf")
        self._checked_at_ms = float("-inf")

    def is_paused(self, at_ms: float) -> bool:
        """Whether the upstream has asked for a pause that has not ended."""
        return at_ms < self.paused_until_ms

    def record(self, notice: Notice, sent_at_ms: float, at_ms: float) -> None:
        """Record what a response states.

        Responses overtake each other, so one without a notice ends the upstream's
        leaving only if its request was sent after it was last stated.
        """
        if notice.pause_ms:
            self._record_pause(min(notice.pause_ms, MAX_PAUSE_MS), at_ms)
        if notice.is_leaving:
            if not self.is_leaving:
                log.info("upstream.leaving", upstream=self._id)
            self.is_leaving = True
            self._stated_leaving_at_ms = self.recorded_at_ms = at_ms
        elif (
            notice.is_leaving is False
            and self.is_leaving
            and sent_at_ms > self._stated_leaving_at_ms
        ):
            log.info("upstream.leaving_ended", upstream=self._id)
            self.is_leaving = False

    def _record_pause(self, pause_ms: float, at_ms: float) -> None:
        if not self.is_paused(at_ms):
            log.info("upstream.paused", upstream=self._id, pause_ms=int(pause_ms))
        self.paused_until_ms = max(self.paused_until_ms, at_ms + pause_ms)
        self.recorded_at_ms = at_ms

    def take_check(self, at_ms: float) -> bool:
        """Whether to ask the upstream now if it is still leaving; at most every 5 s."""
        last_ms = max(self._stated_leaving_at_ms, self._checked_at_ms)
        if not self.is_leaving or at_ms < last_ms + RECHECK_INTERVAL_MS:
            return False
        self._checked_at_ms = at_ms
        return True


class NoticeTable:
    """The notices of all upstreams, by their starts."""

    def __init__(self) -> None:
        self._by_start: dict[int, UpstreamNotices] = {}

    def of(self, start: int, upstream_id: str) -> UpstreamNotices:
        """Return the notices of a start of an upstream, none at first."""
        return self._by_start.setdefault(start, UpstreamNotices(upstream_id))

    def discard_old(self, registered: set[int], at_ms: float) -> None:
        """Forget upstreams that ended a while ago, or never asked for anything."""
        for start, notices in list(self._by_start.items()):
            if start not in registered and at_ms - notices.recorded_at_ms > EXPIRY_MS:
                del self._by_start[start]
