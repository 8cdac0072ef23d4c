"""Queues requests for slots, and refuses those that would wait too long.

Load pattern: all slots of a service are taken and requests keep arriving, in a burst or
permanently. A request that waits longer than its latency objective allows is late, and
a long queue makes every request late. So only as many requests are queued as will get a
slot in time; the others are refused at once, with retry-after delays spaced at the rate
at which slots become free. Urgent requests go first, then those that can still be on
time, in order of arrival. Returning callers are late already and go behind those who
are not: each slot given to one of them instead makes one more request late.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from .clock import now_ms

__all__ = [
    "AdmissionQueue",
    "AdmissionRequest",
    "Admitted",
    "Refused",
    "RetryAfterSchedule",
    "SlotEstimate",
    "Ticket",
    "expected_wait_ms",
    "next_ticket",
]

RATE_WINDOW_S = 4.0  # Long enough for about a dozen answers of a model engine.
MIN_RATE_PER_S = 0.2  # Until requests have ended, one free slot in 5 s is assumed.
MIN_RETRY_AFTER_MS = 250.0  # Earlier retries would meet the same queue.
# Callers honour delays of up to a third of their timeout, which is some seconds.
MAX_RETRY_AFTER_MS = 2_500.0


class Admitted(NamedTuple):
    """A slot at an upstream; the request is counted there already."""

    upstream_id: str


class Refused(NamedTuple):
    """Why a request gets no slot, and when its caller may retry."""

    reason: str
    retry_after_ms: float


class AdmissionRequest(NamedTuple):
    """What the admission of a request depends on.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    latest_start_ms : float
        Latest start, on the clock of `now_ms`, for a response that is on time.
    max_wait_ms : float
        How long it may wait in the queue.
    pause_objective_ms : float
        Longest pause between events that is on time; 0 for plain responses, and for
        streams that are resumed.
    tried : collection of str
        Upstreams that it has been sent to already.
    yields : bool
        Whether it goes behind all others of its priority, and gets only what they leave
        of an upstream's limit.
    """

    priority: int
    latest_start_ms: float
    max_wait_ms: float
    pause_objective_ms: float = 0.0
    tried: Collection[str] = ()
    yields: bool = False

    def is_late(self, at_ms: float) -> bool:
        """Whether its response can no longer be on time."""
        return self.latest_start_ms < at_ms


class SlotEstimate(NamedTuple):
    """How soon slots may be had.

    Attributes
    ----------
    n_free : float
        Slots that are free now, divided by the hosts that have requests waiting.
    freed_per_s : float or None
        Rate at which slots become free for this host, None if it is not known.
    """

    n_free: float
    freed_per_s: float | None


class Ticket(NamedTuple):
    """A request that needs a slot; ``number`` rises in order of arrival."""

    number: int
    request: AdmissionRequest


def next_ticket(tickets: Sequence[Ticket], at_ms: float) -> Ticket:
    """Return the ticket that goes first.

    Examples
    --------
    >>> late = Ticket(1, AdmissionRequest(1, 100.0, 50.0))
    >>> early = Ticket(2, AdmissionRequest(1, 900.0, 50.0))
    >>> next_ticket([late, early], at_ms=500.0).number
    2
    """

    return min(tickets, key=lambda ticket: _sort_key(ticket, at_ms))


def _sort_key(ticket: Ticket, at_ms: float) -> tuple[int, bool, bool, int]:
    request = ticket.request
    return request.priority, request.yields, request.is_late(at_ms), ticket.number


def expected_wait_ms(n_ahead: float, freed_per_s: float) -> float:
    """Return the expected wait for a slot behind other requests.

    Examples
    --------
    >>> expected_wait_ms(n_ahead=3, freed_per_s=8.0)
    500.0
    """
    return 1000 * (n_ahead + 1) / max(freed_per_s, MIN_RATE_PER_S)


class RetryAfterSchedule:
    """Spaces retry-after delays, so that callers don't all retry at once.

    Examples
    --------
    >>> schedule = RetryAfterSchedule()
    >>> [round(schedule.next_delay_ms(0.0, freed_per_s=4.0)) for _ in range(3)]
    [250, 500, 750]
    """

    def __init__(self) -> None:
        self._last_ms = float("-inf")

    def next_delay_ms(self, at_ms: float, freed_per_s: float) -> float:
        """Return the delay in milliseconds after which the next caller may retry."""
        interval_ms = 1000 / max(freed_per_s, MIN_RATE_PER_S)
        due_ms = max(at_ms + MIN_RETRY_AFTER_MS, self._last_ms + interval_ms)
        self._last_ms = min(due_ms, at_ms + MAX_RETRY_AFTER_MS)
        return self._last_ms - at_ms


class _EventRate:
    """Counts events over a sliding window of about `RATE_WINDOW_S`."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._recorded_at_ms: float | None = None

    def record(self, at_ms: float) -> None:
        self._per_s = self.per_s(at_ms) + 1 / RATE_WINDOW_S
        self._recorded_at_ms = at_ms

    def per_s(self, at_ms: float) -> float:
        if self._recorded_at_ms is None:
            return 0.0
        age_s = (at_ms - self._recorded_at_ms) / 1000
        return self._per_s * max(0.0, 1 - age_s / RATE_WINDOW_S)


@dataclass
class _QueuedRequest:
    ticket: Ticket
    admitted: trio.Event = field(default_factory=trio.Event)
    upstream_id: str | None = None


class AdmissionQueue:
    """Requests of one service that wait for a slot.

    Parameters
    ----------
    acquire_slot : callable
        Takes a slot for a ticket; returns the upstream's id, None if no slot is free.
    return_slot : callable
        Frees a slot, given the upstream's id, whose request will not use it.
    begin_waiting : callable
        Called when a request begins to wait. Returns the interval in ms at which slots
        may become free without a call of `dispatch`, or None.
    estimate : callable
        Returns how many slots are free, and the rate at which others become free for
        this host, None if it is not known; the releases of its own requests count then.
    may_start : callable
        Whether a ticket may take a slot now; others may while it has to wait.
    """

    def __init__(
        self,
        acquire_slot: Callable[[Ticket], str | None],
        return_slot: Callable[[str], None],
        begin_waiting: Callable[[], float | None] = lambda: None,
        estimate: Callable[[], SlotEstimate] = lambda: SlotEstimate(0.0, None),
        may_start: Callable[[Ticket], bool] = lambda ticket: True,
    ):
        self._may_start = may_start
        self._estimate = estimate
        self._begin_waiting = begin_waiting
        self._acquire_slot = acquire_slot
        self._return_slot = return_slot
        self._queued: dict[int, _QueuedRequest] = {}
        self._numbers = itertools.count()
        self._release_rate = _EventRate()
        self._retry_after = RetryAfterSchedule()

    @property
    def n_waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    async def admit(self, request: AdmissionRequest) -> Admitted | Refused:
        """Wait for a slot and return it, or a refusal."""
        at_ms = now_ms()
        ticket = Ticket(next(self._numbers), request)
        is_first = all(w.ticket.request.yields for w in self._queued.values())
        if is_first and self._may_start(ticket):
            upstream_id = self._acquire_slot(ticket)
            if upstream_id is not None:
                return Admitted(upstream_id)
        sort_key = _sort_key(ticket, at_ms)
        n_ahead = sum(
            _sort_key(w.ticket, at_ms) < sort_key
            for w in self._queued.values()
            if request.yields or not w.ticket.request.yields
        )
        n_free, freed_per_s = self._estimate()
        if freed_per_s is None:
            freed_per_s = self._release_rate.per_s(at_ms)
        wait_ms = expected_wait_ms(n_ahead - n_free, freed_per_s)
        if n_ahead > n_free and wait_ms > request.max_wait_ms:
            return self._refuse("too many wait for a place")
        queued = self._queued[ticket.number] = _QueuedRequest(ticket)
        try:
            with trio.move_on_after(request.max_wait_ms / 1000):
                await self._wait(queued)
        except trio.Cancelled:
            # The caller has left, perhaps just after a slot was assigned to it.
            if queued.upstream_id is not None:
                self._return_slot(queued.upstream_id)
            raise
        finally:
            del self._queued[ticket.number]
        if queued.upstream_id is None:
            return self._refuse("no place became free in time")
        return Admitted(queued.upstream_id)

    async def _wait(self, queued: _QueuedRequest) -> None:
        interval_ms = self._begin_waiting()
        while interval_ms is not None and queued.upstream_id is None:
            with trio.move_on_after(interval_ms / 1000):
                await queued.admitted.wait()
            self.dispatch()
        await queued.admitted.wait()

    def record_release(self) -> None:
        """Record that a request of this host has released its slot."""
        self._release_rate.record(now_ms())

    def dispatch(self) -> None:
        """Assign free slots to queued requests."""
        waiting = [
            queued.ticket
            for queued in self._queued.values()
            if not queued.upstream_id and self._may_start(queued.ticket)
        ]
        while waiting:
            first = next_ticket(waiting, now_ms())
            waiting.remove(first)
            upstream_id = self._acquire_slot(first)
            if upstream_id is not None:
                queued = self._queued[first.number]
                queued.upstream_id = upstream_id
                queued.admitted.set()
            elif not first.request.yields:
                return

    def refuse_until(self, reason: str, retry_after_ms: float) -> Refused:
        """Return a refusal with the delay after which its cause has ended."""
        return Refused(reason, max(retry_after_ms, MIN_RETRY_AFTER_MS))

    def refuse_at_rate(
        self, reason: str, min_delay_ms: float, freed_per_s: float
    ) -> Refused:
        """Return a refusal, if slots become free at a rate after some time."""
        delay_ms = self._retry_after.next_delay_ms(now_ms(), freed_per_s)
        return Refused(reason, max(min_delay_ms, delay_ms))

    def _refuse(self, reason: str) -> Refused:
        # Callers who return get only what others leave, so that the releases of this
        # host's own requests count, which are fewer than the slots that it may get.
        at_ms = now_ms()
        freed_per_s = self._release_rate.per_s(at_ms)
        return Refused(reason, self._retry_after.next_delay_ms(at_ms, freed_per_s))
