"""Shares an upstream's slots between priority classes and workspaces.

All requests to an upstream pass through its agent, whichever entry host sent them, so
the entry hosts need not coordinate the shares. Urgent requests are served first, and
some slots are reserved for them. Within a class, workspaces get tokens in
proportion to their shares by start-time fair queueing (Goyal, Vin and Cheng,
"Start-time fair queuing", IEEE/ACM Transactions on Networking, 1997).
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from ..errors import Refused
from ..protocol.requests import PriorityClass
from .kv_admission import KvMemory, KvReservation

__all__ = ["Demand", "FairQueue"]

MAX_WAITING_PER_SLOT = 8
RESERVED_SLOT_SHARE = 0.0625
RUN_TIME_SMOOTHING = 0.05
MIN_RETRY_AFTER_MS = 100.0


class Demand(NamedTuple):
    """The resources that a request needs at an upstream.

    Attributes
    ----------
    share : float
        The workspace's share; tokens are served in proportion to it.
    n_tokens : int
        Expected tokens, at least 1.
    deadline_ms : float
        Time left until the response must be complete.
    n_prompt_tokens : int
        Tokens in the engine's KV cache from the start; 0 for plain services.
    """

    priority_class: PriorityClass
    workspace: str
    share: float
    n_tokens: int
    deadline_ms: float
    n_prompt_tokens: int = 0

    @property
    def is_urgent(self) -> bool:
        """Whether it is served before drafting requests."""
        return self.priority_class is PriorityClass.URGENT


class _WaitingRequest:
    """A request waiting for a slot."""

    def __init__(self, demand: Demand, start_tag: float):
        self.demand = demand
        self.start_tag = start_tag
        self.resolved = trio.Event()
        self.reservation: KvReservation | None = None
        self.retry_after_ms = 0.0


class _ClassQueue:
    """Virtual time and queue of one class, ordered by start tags."""

    def __init__(self) -> None:
        self.queue: list[tuple[float, int, _WaitingRequest]] = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    def start_tag(self, demand: Demand) -> float:
        """Return the start tag of a request that would arrive now."""
        return max(self._virtual_time, self._finish_tags.get(demand.workspace, 0.0))

    def put(self, waiter: _WaitingRequest) -> None:
        demand = waiter.demand
        n_weighted = demand.n_tokens / demand.share
        self._finish_tags[demand.workspace] = waiter.start_tag + n_weighted
        heapq.heappush(self.queue, (waiter.start_tag, next(self._order), waiter))

    def first(self) -> _WaitingRequest:
        """Return the request to be served next."""
        return self.queue[0][2]

    def take(self) -> _WaitingRequest:
        """Remove and return the next request; advance the virtual time to its tag."""
        waiter = heapq.heappop(self.queue)[2]
        self._virtual_time = waiter.start_tag
        if not self.queue:
            self._finish_tags = {
                name: tag
                for name, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }
        return waiter

    def remove(self, waiter: _WaitingRequest) -> None:
        """Remove a request that is not served and undo its charge."""
        demand = waiter.demand
        finish_tag = waiter.start_tag + demand.n_tokens / demand.share
        if self._finish_tags.get(demand.workspace) == finish_tag:
            self._finish_tags[demand.workspace] = waiter.start_tag
        self.queue = [item for item in self.queue if item[2] is not waiter]
        heapq.heapify(self.queue)

    def last(self) -> _WaitingRequest:
        """Return the request to be served last."""
        return max(self.queue)[2]

    def n_tokens_before(self, start_tag: float) -> int:
        """Return the waiting tokens to be served before a start tag."""
        return sum(w.demand.n_tokens for tag, _, w in self.queue if tag <= start_tag)


class FairQueue:
    """The slots of one upstream and the queue of requests waiting for them.

    Parameters
    ----------
    n_slots : int
        Requests that the upstream runs at once.
    memory : KvMemory, optional
        The engine's KV cache, in which a request needs room besides its slot.
    """

    def __init__(self, n_slots: int, memory: KvMemory | None = None):
        self._n_slots = n_slots
        self._n_reserved = int(n_slots * RESERVED_SLOT_SHARE)
        self._memory = memory or KvMemory(0)
        self._n_held = 0
        self._n_drafting = 0
        self._ms_per_token: float | None = None
        self._urgent = _ClassQueue()
        self._drafting = _ClassQueue()

    @property
    def n_waiting(self) -> int:
        """Requests waiting for a slot."""
        return len(self._urgent.queue) + len(self._drafting.queue)

    @asynccontextmanager
    async def hold(self, demand: Demand) -> AsyncIterator[KvReservation]:
        """Hold a slot and a reservation of KV cache for the length of a block.

        Raises `Refused` at once if the response can't be complete within the deadline.
        Raises it also if the queue is over its limit and the request is the last in it.
        """
        waiter = self._enqueue(demand)
        try:
            await waiter.resolved.wait()
        except trio.Cancelled:
            if waiter.reservation is not None:
                self._release(demand, waiter.reservation)
            else:
                self._queue_of(demand).remove(waiter)
                self._grant_free_slots()
            raise
        if waiter.reservation is None:
            raise Refused("the upstream's queue is full", waiter.retry_after_ms)
        started_at = trio.current_time()
        try:
            yield waiter.reservation
        finally:
            self._record_run_time(demand, 1000 * (trio.current_time() - started_at))
            self._release(demand, waiter.reservation)

    def _enqueue(self, demand: Demand) -> _WaitingRequest:
        class_queue = self._queue_of(demand)
        waiter = _WaitingRequest(demand, class_queue.start_tag(demand))
        excess_ms = (
            self.estimate_wait_ms(demand)
            + self._estimate_run_ms(demand)
            - demand.deadline_ms
        )
        # A request that need not wait is admitted whatever the estimate says, so that
        # a wrong estimate is corrected.
        if excess_ms > 0 and not self._can_start_at_once(demand):
            reason = "the answer can't be whole within its deadline"
            raise Refused(reason, max(MIN_RETRY_AFTER_MS, excess_ms))
        class_queue.put(waiter)
        self._grant_free_slots()
        if self.n_waiting > MAX_WAITING_PER_SLOT * self._n_slots:
            self._refuse_last()
        return waiter

    def estimate_wait_ms(self, demand: Demand) -> float:
        """Return the estimated wait of a request that would arrive now."""
        if self._can_start_at_once(demand) or self._ms_per_token is None:
            return 0.0
        class_queue = self._queue_of(demand)
        n_tokens = class_queue.n_tokens_before(class_queue.start_tag(demand))
        n_slots = self._n_slots
        if not demand.is_urgent:
            n_tokens += self._urgent.n_tokens_before(float("inf"))
            n_slots -= self._n_reserved
        if self._has_slot(demand):
            # It waits for KV cache, so no more requests run at once than now.
            n_slots = self._n_held
        return n_tokens * self._ms_per_token / max(1, n_slots)

    def _estimate_run_ms(self, demand: Demand) -> float:
        return demand.n_tokens * (self._ms_per_token or 0.0)

    def _queue_of(self, demand: Demand) -> _ClassQueue:
        return self._urgent if demand.is_urgent else self._drafting

    def _can_start_at_once(self, demand: Demand) -> bool:
        """Whether it may start and no request that precedes it is waiting."""
        is_preceded = self._urgent.queue or (
            not demand.is_urgent and self._drafting.queue
        )
        return not is_preceded and self._fits(demand)

    def _fits(self, demand: Demand) -> bool:
        return self._has_slot(demand) and self._memory.has_room(
            demand.n_prompt_tokens, use_headroom=demand.is_urgent
        )

    def _has_slot(self, demand: Demand) -> bool:
        if demand.is_urgent:
            return self._n_held < self._n_slots
        n_allowed = max(1, self._n_slots - self._n_reserved)
        return self._n_held < self._n_slots and self._n_drafting < n_allowed

    def _grant_free_slots(self) -> None:
        """Grant free slots in order; a small request does not overtake a large one."""
        while self._urgent.queue and self._fits(self._urgent.first().demand):
            self._grant(self._urgent.take())
        if self._urgent.queue:
            return
        while self._drafting.queue and self._fits(self._drafting.first().demand):
            self._grant(self._drafting.take())

    def _grant(self, waiter: _WaitingRequest) -> None:
        self._n_held += 1
        if not waiter.demand.is_urgent:
            self._n_drafting += 1
        waiter.reservation = self._memory.take(waiter.demand.n_prompt_tokens)
        waiter.resolved.set()

    def _release(self, demand: Demand, reservation: KvReservation) -> None:
        reservation.release()
        self._n_held -= 1
        if not demand.is_urgent:
            self._n_drafting -= 1
        self._grant_free_slots()

    def _refuse_last(self) -> None:
        """Refuse the last request of the queue, drafting ones first."""
        class_queue = self._drafting if self._drafting.queue else self._urgent
        waiter = class_queue.last()
        class_queue.remove(waiter)
        waiter.retry_after_ms = max(
            MIN_RETRY_AFTER_MS, self.estimate_wait_ms(waiter.demand)
        )
        waiter.resolved.set()

    def _record_run_time(self, demand: Demand, run_ms: float) -> None:
        ms_per_token = run_ms / demand.n_tokens
        if self._ms_per_token is None:
            self._ms_per_token = ms_per_token
        change = ms_per_token - self._ms_per_token
        self._ms_per_token += RUN_TIME_SMOOTHING * change
