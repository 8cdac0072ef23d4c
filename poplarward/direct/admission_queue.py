"""Which requests wait for a place, which are refused, and who goes first.

Load pattern: a service's slots are all taken and requests keep coming, in a burst or
for good. Whoever waits longer than its latency objective allows is late anyway, and a
long queue makes all of them late. So only as many wait as will find a place in time;
the others are refused at once, with times to return that follow each other at the rate
at which places become free. Urgent requests go first, then those that can still be on
time, in their order. Callers who have come back are late already and go behind those
who are not: each place that goes to one of them instead makes one more late.
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
    "Ticket",
    "expected_wait_ms",
    "next_ticket",
]

RATE_WINDOW_S = 4.0  # Long enough for some dozen answers of a model engine.
MIN_RATE_PER_S = 0.2  # Without answers so far, one place in 5 s is assumed.
MIN_RETRY_AFTER_MS = 250.0  # Earlier returns would meet the same queue.
MAX_RETRY_AFTER_MS = (
    2_500.0  # Callers honour up to a third of their time, some seconds.
)


class Admitted(NamedTuple):
    """The upstream that a request goes to; it is counted in there already."""

    upstream_id: str


class Refused(NamedTuple):
    """A request that gets no place, why, and when its caller may come back."""

    reason: str
    retry_after_ms: float


class AdmissionRequest(NamedTuple):
    """What a request asks for.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    on_time_until_ms : float
        Latest start, as `now_ms`, for an answer that is on time.
    max_wait_ms : float
        How long it may wait.
    pause_objective_ms : float
        Longest pause between events that is on time; 0 for plain answers, and for
        streams that are under way.
    tried : collection of str
        Upstreams that it was sent to already.
    """

    priority: int
    latest_start_ms: float
    max_wait_ms: float
    pause_objective_ms: float = 0.0
    tried: Collection[str] = ()

    def is_late(self, at_ms: float) -> bool:
        """Whether its answer can't be on time any more."""
        return self.latest_start_ms < at_ms


class Ticket(NamedTuple):
    """A request that wants a place; ``number`` rises with each that comes."""

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

    return min(tickets, key=lambda ticket: _rank(ticket, at_ms))


def _rank(ticket: Ticket, at_ms: float) -> tuple[int, bool, int]:
    wanted = ticket.request
    return wanted.priority, wanted.is_late(at_ms), ticket.number


def expected_wait_ms(n_ahead: int, freed_per_s: float) -> float:
    """Return how long a request waits for a place behind others.

    Examples
    --------
    >>> expected_wait_ms(n_ahead=3, freed_per_s=8.0)
    500.0
    """
    return 1000 * (n_ahead + 1) / max(freed_per_s, MIN_RATE_PER_S)


class RetryAfterSchedule:
    """Deals out times to return, so that callers don't all return at once.

    Examples
    --------
    >>> schedule = RetryAfterSchedule()
    >>> [round(schedule.next_delay_ms(0.0, freed_per_s=4.0)) for _ in range(3)]
    [250, 500, 750]
    """

    def __init__(self) -> None:
        self._last_ms = float("-inf")

    def next_delay_ms(self, at_ms: float, freed_per_s: float) -> float:
        """Return in how many milliseconds the next caller may return."""
        gap_ms = 1000 / max(freed_per_s, MIN_RATE_PER_S)
        due_ms = max(at_ms + MIN_RETRY_AFTER_MS, self._last_ms + gap_ms)
        self._last_ms = min(due_ms, at_ms + MAX_RETRY_AFTER_MS)
        return self._last_ms - at_ms


class _Rate:
    """Counts events over a sliding window of about `RATE_WINDOW_S`."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._noted_at_ms: float | None = None

    def note(self, at_ms: float) -> None:
        self._per_s = self.per_s(at_ms) + 1 / RATE_WINDOW_S
        self._noted_at_ms = at_ms

    def per_s(self, at_ms: float) -> float:
        if self._noted_at_ms is None:
            return 0.0
        age_s = (at_ms - self._noted_at_ms) / 1000
        return self._per_s * max(0.0, 1 - age_s / RATE_WINDOW_S)


@dataclass
class _Waiter:
    ticket: Ticket
    placed: trio.Event = field(default_factory=trio.Event)
    upstream_id: str | None = None


class AdmissionQueue:
    """Requests of one service that wait for a place.

    Parameters
    ----------
    take_place : callable
        Takes a place for a ticket and returns the upstream's id, None without one.
    give_back : callable
        Takes back a place, by the upstream's id, whose request will not use it.
    """

    def __init__(
        self,
        take_place: Callable[[Ticket], str | None],
        give_back: Callable[[str], None],
    ):
        self._take_place = take_place
        self._give_back = give_back
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = itertools.count()
        self._freed = _Rate()
        self._returns = RetryAfterSchedule()

    @property
    def n_waiting(self) -> int:
        """Requests that wait now."""
        return len(self._waiters)

    async def admit(self, wanted: AdmissionRequest) -> Admitted | Refused:
        """Return a place as soon as there is one, or a refusal."""
        at_ms = now_ms()
        ticket = Ticket(next(self._numbers), wanted)
        if not self._waiters:
            upstream_id = self._take_place(ticket)
            if upstream_id is not None:
                return Admitted(upstream_id)
        rank = _rank(ticket, at_ms)
        n_ahead = sum(_rank(w.ticket, at_ms) < rank for w in self._waiters.values())
        freed_per_s = self._freed.per_s(at_ms)
        if n_ahead and expected_wait_ms(n_ahead, freed_per_s) > wanted.max_wait_ms:
            return self._refuse("too many wait for a place")
        waiter = self._waiters[ticket.number] = _Waiter(ticket)
        try:
            with trio.move_on_after(wanted.max_wait_ms / 1000):
                await waiter.placed.wait()
        except trio.Cancelled:
            # The caller has left, perhaps just after a place became free for it.
            if waiter.upstream_id is not None:
                self._give_back(waiter.upstream_id)
            raise
        finally:
            del self._waiters[ticket.number]
        if waiter.upstream_id is None:
            return self._refuse("no place became free in time")
        return Admitted(waiter.upstream_id)

    def record_release(self) -> None:
        """Note that a request of this host has left its place."""
        self._freed.note(now_ms())

    def dispatch(self) -> None:
        """Give places that have become free to those who wait."""
        while waiting := [w for w in self._waiters.values() if not w.upstream_id]:
            first = next_ticket([w.ticket for w in waiting], now_ms())
            upstream_id = self._take_place(first)
            if upstream_id is None:
                return
            waiter = self._waiters[first.number]
            waiter.upstream_id = upstream_id
            waiter.placed.set()

    def refuse_until(self, reason: str, retry_after_ms: float) -> Refused:
        """Return a refusal for a cause with a known end."""
        return Refused(reason, max(retry_after_ms, MIN_RETRY_AFTER_MS))

    def _refuse(self, reason: str) -> Refused:
        at_ms = now_ms()
        freed_per_s = self._freed.per_s(at_ms)
        return Refused(reason, self._returns.next_delay_ms(at_ms, freed_per_s))
