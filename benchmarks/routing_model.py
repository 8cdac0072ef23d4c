"""Arrivals and engines of the routing benchmark, as a discrete-event simulation.

The ranks of a group step together: a step lasts as long as its most loaded rank needs.
Each request is prefilled in chunks, urgent requests first, and then decodes one token
per step. Each rank caches its most recently used prefixes.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from poplarward.protocol.reports import AgentReport, UpstreamKind, UpstreamState

__all__ = ["Arrival", "EngineGroup", "EventLoop", "Host", "Measures", "arrivals"]

STEP_BASE_MS = 8.0
WINDOW_MS = 1000.0
DECODE_TOKEN_MS = 0.25
PREFILL_TOKEN_MS = 0.02
PREFILL_CHUNK_TOKENS = 256
N_RANK_SLOTS = 96
N_CACHED_PREFIXES = 12
N_PREFIXES_PER_HOST = 4
PREFIX_SKEW = 1.0
MEAN_DRAFT_TOKENS = 150
MAX_DRAFT_TOKENS = 400
DRAFTS_PER_RANK_S = 7.0
URGENT_PER_RANK_S = 2.0


class Arrival(NamedTuple):
    """One request of the arrivals that all policies share."""

    at_ms: float
    entry: int
    urgent: bool
    prefix: int
    n_prefix_tokens: int
    n_prompt_tokens: int
    n_output_tokens: int
    max_tokens: int


class EventLoop:
    """Runs callbacks in the order of their scheduled times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._tie_breaker = itertools.count()

    def at(self, time_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a given time."""
        heapq.heappush(self._heap, (time_ms, next(self._tie_breaker), callback, args))

    def run(self, until_ms: float) -> None:
        """Run the callbacks that are due up to a given time."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback, args = heapq.heappop(self._heap)
            callback(*args)


def arrivals(
    n_hosts: int, n_entries: int, duration_ms: float, seed: int
) -> list[Arrival]:
    """Return the requests of both priority classes, ordered by arrival time."""
    rng = random.Random(seed)
    n_prefixes = max(4, N_PREFIXES_PER_HOST * n_hosts)
    weights = [1 / (rank + 1) ** PREFIX_SKEW for rank in range(n_prefixes)]
    cumulative = list(itertools.accumulate(weights))
    rate_per_ms = n_hosts * (DRAFTS_PER_RANK_S + URGENT_PER_RANK_S) / 1000
    urgent_fraction = URGENT_PER_RANK_S / (DRAFTS_PER_RANK_S + URGENT_PER_RANK_S)
    requests = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(rate_per_ms)
        urgent = rng.random() < urgent_fraction
        prefix = rng.choices(range(n_prefixes), cum_weights=cumulative)[0]
        n_draft_tokens = int(rng.expovariate(1 / MEAN_DRAFT_TOKENS)) + 1
        requests.append(
            Arrival(
                at_ms=now_ms,
                entry=rng.randrange(n_entries),
                urgent=urgent,
                prefix=prefix,
                n_prefix_tokens=200 if urgent else 600,
                n_prompt_tokens=250 if urgent else 600 + rng.randrange(100, 500),
                n_output_tokens=20 if urgent else min(n_draft_tokens, MAX_DRAFT_TOKENS),
                max_tokens=40 if urgent else MAX_DRAFT_TOKENS,
            )
        )
    return requests


class Measures:
    """Measurements of a run."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Discard the measurements taken while the prefix caches were empty."""
        self.first_token_ms: dict[bool, list[float]] = {True: [], False: []}
        self.between_ms: dict[bool, dict[int, int]] = {True: {}, False: {}}
        self.skew_sum = 0.0
        self.n_steps = 0
        self.fullest_work_ms = 0.0
        self.mean_work_ms = 0.0
        self.window_skews: list[float] = []
        self.n_hits = 0
        self.n_lookups = 0

    def record_step(self, step_ms: float, n_urgent: int, n_drafts: int) -> None:
        """Record the step duration once for each token decoded in the step."""
        bucket = round(step_ms)
        for urgent, count in ((True, n_urgent), (False, n_drafts)):
            buckets = self.between_ms[urgent]
            buckets[bucket] = buckets.get(bucket, 0) + count


class _RankRequest:
    """A request that is queued or running at a rank."""

    __slots__ = ("arrival", "n_prefill", "on_end")

    def __init__(self, arrival: Arrival, on_end: Callable[[], None]):
        self.arrival = arrival
        self.n_prefill = arrival.n_prompt_tokens
        self.on_end = on_end


class _Rank:
    def __init__(self) -> None:
        self.urgent: deque[_RankRequest] = deque()
        self.drafts: deque[_RankRequest] = deque()
        self.finishing: list[tuple[int, int, _RankRequest]] = []
        self.n_running = {True: 0, False: 0}
        self.cache: OrderedDict[int, None] = OrderedDict()


class Host:
    """An upstream host: an agent in front of one rank of a group."""

    def __init__(self, name: str):
        self.name = name
        self.rank = _Rank()
        self.group: EngineGroup | None = None
        self.n_received = 0
        self.n_reports = 0
        self.last_sequences: dict[int, int] = {}

    def submit(
        self, arrival: Arrival, sequence: int, on_end: Callable[[], None]
    ) -> None:
        """Count a request and queue it at the rank of this host."""
        assert self.group is not None
        self.n_received += 1
        self.last_sequences[arrival.entry] = sequence
        self.group.submit(self.rank, arrival, on_end)

    def report(self, entry: int) -> AgentReport:
        """Return the load report for one entry host."""
        self.n_reports += 1
        rank = self.rank
        return AgentReport(
            upstream_kind=UpstreamKind.ENGINE,
            upstream="drafts",
            state=UpstreamState.LIVE,
            n_running=len(rank.finishing),
            n_waiting=len(rank.urgent) + len(rank.drafts),
            n_tokens_outstanding=0,
            n_slots=N_RANK_SLOTS,
            kv_bytes_used=0,
            kv_bytes_limit=0,
            report_number=self.n_reports,
            last_sequence=self.last_sequences.get(entry, 0),
            n_received=self.n_received,
        )


class EngineGroup:
    """Hosts whose ranks step in lockstep."""

    def __init__(self, loop: EventLoop, hosts: list[Host], measures: Measures):
        self._loop = loop
        self._ranks = [host.rank for host in hosts]
        self._measures = measures
        self._n_steps = 0
        self._window_ends_ms = WINDOW_MS
        self._window_works = [0.0] * len(self._ranks)
        self._stepping = False
        self._tie_breaker = itertools.count()
        for host in hosts:
            host.group = self

    def submit(self, rank: _Rank, arrival: Arrival, on_end: Callable[[], None]) -> None:
        """Queue a request at a rank."""
        request = _RankRequest(arrival, on_end)
        self._measures.n_lookups += 1
        if arrival.prefix in rank.cache:
            rank.cache.move_to_end(arrival.prefix)
            request.n_prefill -= arrival.n_prefix_tokens
            self._measures.n_hits += 1
        (rank.urgent if arrival.urgent else rank.drafts).append(request)
        if not self._stepping:
            self._stepping = True
            self._step()

    def _step(self) -> None:
        works = []
        prefilled: list[tuple[_Rank, _RankRequest]] = []
        for rank in self._ranks:
            n_running = len(rank.finishing)
            n_prefilled = self._prefill(rank, prefilled)
            works.append(n_running * DECODE_TOKEN_MS + n_prefilled * PREFILL_TOKEN_MS)
        mean = sum(works) / len(works)
        if mean == 0:
            self._stepping = False
            return
        step_ms = STEP_BASE_MS + max(works)
        self._measures.skew_sum += max(works) / mean
        self._measures.n_steps += 1
        self._measures.fullest_work_ms += max(works)
        self._measures.mean_work_ms += mean
        self._record_window(works)
        self._record_token_intervals(step_ms)
        self._n_steps += 1
        self._loop.at(self._loop.now_ms + step_ms, self._end_step, prefilled)

    def _prefill(self, rank: _Rank, prefilled: list[tuple[_Rank, _RankRequest]]) -> int:
        budget = PREFILL_CHUNK_TOKENS
        for queue in (rank.urgent, rank.drafts):
            while queue and budget and len(rank.finishing) < N_RANK_SLOTS:
                n_tokens = min(budget, queue[0].n_prefill)
                queue[0].n_prefill -= n_tokens
                budget -= n_tokens
                if queue[0].n_prefill == 0:
                    prefilled.append((rank, queue.popleft()))
        return PREFILL_CHUNK_TOKENS - budget

    def _record_window(self, works: list[float]) -> None:
        if self._loop.now_ms >= self._window_ends_ms:
            total = sum(self._window_works)
            if total > 0:
                skew = max(self._window_works) * len(self._ranks) / total
                self._measures.window_skews.append(skew)
            self._window_works = [0.0] * len(self._ranks)
            self._window_ends_ms += WINDOW_MS
        for index, work in enumerate(works):
            self._window_works[index] += work

    def _record_token_intervals(self, step_ms: float) -> None:
        n_urgent = sum(rank.n_running[True] for rank in self._ranks)
        n_drafts = sum(rank.n_running[False] for rank in self._ranks)
        self._measures.record_step(step_ms, n_urgent, n_drafts)

    def _end_step(self, prefilled: list[tuple[_Rank, _RankRequest]]) -> None:
        now_ms = self._loop.now_ms
        for rank in self._ranks:
            while rank.finishing and rank.finishing[0][0] <= self._n_steps:
                _, _, request = heapq.heappop(rank.finishing)
                rank.n_running[request.arrival.urgent] -= 1
                request.on_end()
        for rank, request in prefilled:
            arrival = request.arrival
            self._measures.first_token_ms[arrival.urgent].append(now_ms - arrival.at_ms)
            rank.cache[arrival.prefix] = None
            rank.cache.move_to_end(arrival.prefix)
            if len(rank.cache) > N_CACHED_PREFIXES:
                rank.cache.popitem(last=False)
            if arrival.n_output_tokens <= 1:
                request.on_end()
                continue
            end = self._n_steps + arrival.n_output_tokens - 1
            heapq.heappush(rank.finishing, (end, next(self._tie_breaker), request))
            rank.n_running[arrival.urgent] += 1
        self._step()
