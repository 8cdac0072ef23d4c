"""Shares an upstream's slots between classes and workspaces.

All requests for an upstream meet at its agent, whichever entry host they came
through, so the shares need no agreement between entry hosts. Urgent requests go
first, and some slots are kept for them. Within a class, workspaces get tokens in
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
TIME_SMOOTHING = 0.05
MIN_RETRY_AFTER_MS = 100.0


class Demand(NamedTuple):
    """What a request asks of an upstream.

    Attributes
    ----------
    share : float
        The workspace's share; tokens are served in proportion to it.
    n_tokens : int
        Tokens expected, at least 1.
    deadline_ms : float
        Time left for the whole answer.
    n_prompt_tokens : int
        Tokens that the engine's memory holds from the start; 0 for plain services.
    """

    priority_class: PriorityClass
    workspace: str
    share: float
    n_tokens: int
    deadline_ms: float
    n_prompt_tokens: int = 0

    @property
    def is_urgent(self) -> bool:
        """Whether it goes before drafting."""
        return self.priority_class is PriorityClass.URGENT


class _Waiter:
    """A request that waits for a slot."""

    def __init__(self, demand: Demand, start_tag: float):
        self.demand = demand
        self.start_tag = start_tag
        self.settled = trio.Event()
        self.share: KvReservation | None = None
        self.retry_after_ms = 0.0


class _Flows:
    """Virtual time of one class: the order in which its workspaces are served."""

    def __init__(self) -> None:
        self.queue: list[tuple[float, int, _Waiter]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._finish_tags: dict[str, float] = {}

    def start_tag(self, demand: Demand) -> float:
        """Return the place of a request that would arrive now."""
        return max(self._now, self._finish_tags.get(demand.workspace, 0.0))

    def put(self, waiter: _Waiter) -> None:
        demand = waiter.demand
        n_weighted = demand.n_tokens / demand.share
        self._finish_tags[demand.workspace] = waiter.start_tag + n_weighted
        heapq.heappush(self.queue, (waiter.start_tag, next(self._order), waiter))

    def first(self) -> _Waiter:
        """Return the request that would be served next."""
        return self.queue[0][2]

    def take(self) -> _Waiter:
        """Return the next request and advance the virtual time to it."""
        waiter = heapq.heappop(self.queue)[2]
        self._now = waiter.start_tag
        if not self.queue:
            self._finish_tags = {
                name: tag for name, tag in self._finish_tags.items() if tag > self._now
            }
        return waiter

    def remove(self, waiter: _Waiter) -> None:
        """Take out a request that is not served, and what it was charged."""
        demand = waiter.demand
        finish_tag = waiter.start_tag + demand.n_tokens / demand.share
        if self._finish_tags.get(demand.workspace) == finish_tag:
            self._finish_tags[demand.workspace] = waiter.start_tag
        self.queue = [item for item in self.queue if item[2] is not waiter]
        heapq.heapify(self.queue)

    def last(self) -> _Waiter:
        """Return the request that would be served last."""
        return max(self.queue)[2]

    def n_tokens_before(self, start_tag: float) -> int:
        """Return the tokens waiting that go before a place."""
        return sum(w.demand.n_tokens for tag, _, w in self.queue if tag <= start_tag)


class FairQueue:
    """The slots of one upstream and the requests that wait for them.

    Parameters
    ----------
    n_slots : int
        Requests that the upstream runs at once.
    memory : KvMemory, optional
        The engine's memory, which a request needs room in besides its slot.
    """

    def __init__(self, n_slots: int, memory: KvMemory | None = None):
        self._n_slots = n_slots
        self._n_kept = int(n_slots * RESERVED_SLOT_SHARE)
        self._memory = memory or KvMemory(0)
        self._n_held = 0
        self._n_drafting = 0
        self._ms_per_token: float | None = None
        self._urgent = _Flows()
        self._drafting = _Flows()

    @property
    def n_waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._urgent.queue) + len(self._drafting.queue)

    @asynccontextmanager
    async def hold(self, demand: Demand) -> AsyncIterator[KvReservation]:
        """Hold a slot, and memory that the request makes grow, for a block.

        Raises `Refused` at once if the answer can't be whole within the deadline, or
        as soon as others with a better claim have filled the queue.
        """
        waiter = self._enqueue(demand)
        try:
            await waiter.settled.wait()
        except trio.Cancelled:
            if waiter.share is not None:
                self._release(demand, waiter.share)
            else:
                self._flows(demand).remove(waiter)
                self._serve()
            raise
        if waiter.share is None:
            raise Refused("the upstream's queue is full", waiter.retry_after_ms)
        began = trio.current_time()
        try:
            yield waiter.share
        finally:
            self._note_time(demand, 1000 * (trio.current_time() - began))
            self._release(demand, waiter.share)

    def _enqueue(self, demand: Demand) -> _Waiter:
        flows = self._flows(demand)
        waiter = _Waiter(demand, flows.start_tag(demand))
        late_ms = (
            self.estimate_wait_ms(demand) + self._run_ms(demand) - demand.deadline_ms
        )
        # One that need not wait is tried, so that a wrong estimate can be corrected.
        if late_ms > 0 and not self._starts_at_once(demand):
            reason = "the answer can't be whole within its deadline"
            raise Refused(reason, max(MIN_RETRY_AFTER_MS, late_ms))
        flows.put(waiter)
        self._serve()
        if self.n_waiting > MAX_WAITING_PER_SLOT * self._n_slots:
            self._refuse_last()
        return waiter

    def estimate_wait_ms(self, demand: Demand) -> float:
        """Return how long a request that arrives now would wait, estimated."""
        if self._starts_at_once(demand) or self._ms_per_token is None:
            return 0.0
        flows = self._flows(demand)
        n_tokens = flows.n_tokens_before(flows.start_tag(demand))
        n_slots = self._n_slots
        if not demand.is_urgent:
            n_tokens += self._urgent.n_tokens_before(float("inf"))
            n_slots -= self._n_kept
        if self._has_slot(demand):
            # Memory is what it waits for, so no more run at once than now.
            n_slots = self._n_held
        return n_tokens * self._ms_per_token / max(1, n_slots)

    def _run_ms(self, demand: Demand) -> float:
        return demand.n_tokens * (self._ms_per_token or 0.0)

    def _flows(self, demand: Demand) -> _Flows:
        return self._urgent if demand.is_urgent else self._drafting

    def _starts_at_once(self, demand: Demand) -> bool:
        """Whether it may start and none that goes before it waits for memory."""
        waits = self._urgent.queue or (not demand.is_urgent and self._drafting.queue)
        return not waits and self._may_start(demand)

    def _may_start(self, demand: Demand) -> bool:
        return self._has_slot(demand) and self._memory.has_room(
            demand.n_prompt_tokens, use_headroom=demand.is_urgent
        )

    def _has_slot(self, demand: Demand) -> bool:
        if demand.is_urgent:
            return self._n_held < self._n_slots
        n_allowed = max(1, self._n_slots - self._n_kept)
        return self._n_held < self._n_slots and self._n_drafting < n_allowed

    def _serve(self) -> None:
        """Give free slots to those who are next; none overtakes for its size."""
        while self._urgent.queue and self._may_start(self._urgent.first().demand):
            self._grant(self._urgent.take())
        if self._urgent.queue:
            return
        while self._drafting.queue and self._may_start(self._drafting.first().demand):
            self._grant(self._drafting.take())

    def _grant(self, waiter: _Waiter) -> None:
        self._n_held += 1
        if not waiter.demand.is_urgent:
            self._n_drafting += 1
        waiter.share = self._memory.take(waiter.demand.n_prompt_tokens)
        waiter.settled.set()

    def _release(self, demand: Demand, share: KvReservation) -> None:
        share.release()
        self._n_held -= 1
        if not demand.is_urgent:
            self._n_drafting -= 1
        self._serve()

    def _refuse_last(self) -> None:
        """Refuse the request with the weakest claim: drafting, furthest behind."""
        flows = self._drafting if self._drafting.queue else self._urgent
        waiter = flows.last()
        flows.remove(waiter)
        waiter.retry_after_ms = max(
            MIN_RETRY_AFTER_MS, self.estimate_wait_ms(waiter.demand)
        )
        waiter.settled.set()

    def _note_time(self, demand: Demand, run_ms: float) -> None:
        ms_per_token = run_ms / demand.n_tokens
        if self._ms_per_token is None:
            self._ms_per_token = ms_per_token
        change = ms_per_token - self._ms_per_token
        self._ms_per_token += TIME_SMOOTHING * change
