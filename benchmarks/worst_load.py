"""Simulates admission and placement strategies under overload.

The ranks of a group run streams in lock-step. Each pass takes a fixed time plus the
work of the busiest rank, which grows with the skew of the expert map in use. The
strategies are those of a single entry host that knows the whole load, and are compared
on the same arrivals.

Usage:
  worst_load [--json] [--seed N]

Options:
  --json    Print one JSON object.
  --seed N  Seed of the arrivals [default: 1].
"""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from docopt import docopt

from poplarward.direct.admission_queue import RetryAfterSchedule
from poplarward.direct.batch_limit import max_running, max_running_before_shift
from poplarward.direct.model import EngineProfile
from poplarward.direct.pause_tracker import PauseTracker
from poplarward.direct.placement import Candidate, choose_upstream
from poplarward.direct.relay import OBJECTIVE_WAIT_FRACTION, RETURNING_MAX_WAIT_MS

__all__ = ["PATTERNS", "STRATEGIES", "Result", "replay"]

N_RANKS = 16
N_SLOTS = 6
N_TOTAL_SLOTS = N_RANKS * N_SLOTS
OBJECTIVE_MS = 400.0
PAUSE_OBJECTIVE_MS = 120.0
TIMEOUT_MS = 8_000.0
FIRST_EVENT_MS = 110.0
LATE_VALUE = 0.5
ARRIVALS_LENGTH_MS = 30_000.0
CALM_SKEW = 1.25
# Time that one request adds to its rank's work in a pass. Derived from passes of 147 ms
# with all slots in use at skew 4.2.
RANK_REQUEST_MS = 5.3
ENGINE = EngineProfile(
    n_slots=N_SLOTS,
    kv_tokens=247_000,
    step_ms=4.84,
    per_sequence_ms=0.724,
    context_ms_per_k_tokens=0.022,
    prefill_tokens_per_s=74_800.0,
    steps_per_pass=6,
    report_lag_ms=200.0,
    mean_prompt_tokens=835.0,
    mean_answer_tokens=159.0,
    n_layers=4,
    n_experts=64,
    n_expert_slots=5,
    n_spare_slots=2,
    expert_mb=2_500.0,
    link_mbps=180_000.0,
    expert_share=0.85,
)
FIXED_MS = ENGINE.step_ms * ENGINE.steps_per_pass


class Pattern(NamedTuple):
    """Arrival rate and skew over the run.

    Attributes
    ----------
    arrivals_per_s, skew : callable
        Functions of the time in milliseconds.
    """

    arrivals_per_s: Callable[[float], float]
    skew: Callable[[float], float]


class Strategy(NamedTuple):
    """How requests are queued, refused and placed.

    Attributes
    ----------
    is_limited : bool
        Whether the pauses between passes limit the number of running requests.
    may_refuse : bool
        Whether requests that have waited for `OBJECTIVE_WAIT_FRACTION` of the objective
        are refused with a time to retry after.
    is_by_load : bool
        Whether the least loaded rank is chosen, instead of any with a free slot.
    is_late_last : bool
        Whether requests that are already late are queued behind the others. Retried
        requests may then wait for `RETURNING_MAX_WAIT_MS`.
    """

    is_limited: bool
    may_refuse: bool
    is_by_load: bool
    is_late_last: bool = False


class Result(NamedTuple):
    """Requests by outcome, and the fraction of their total value that was obtained."""

    n_asked: int
    n_on_time: int
    n_late: int
    n_failed: int
    worth: float


def _skew_with_shifts(at_ms: float) -> float:
    """Return the skew with a shift of demand every 4 s.

    The previous map stays in use for 0.9 s after each.
    """
    return 4.0 if at_ms % 4_000.0 < 900.0 and at_ms > 4_000.0 else CALM_SKEW


def _arrivals_with_outage(at_ms: float) -> float:
    return 0.0 if 8_000.0 <= at_ms < 10_000.0 else 45.0


PATTERNS = {
    "calm": Pattern(lambda at_ms: 36.0, lambda at_ms: CALM_SKEW),
    "shifts": Pattern(lambda at_ms: 45.0, _skew_with_shifts),
    "burst": Pattern(
        lambda at_ms: 80.0 if 8_000 <= at_ms < 11_000 else 36.0, _skew_with_shifts
    ),
    "outage": Pattern(_arrivals_with_outage, _skew_with_shifts),
}
"""Load patterns: arrivals per second, and the skew of the map in use."""

STRATEGIES = {
    "refuse nothing": Strategy(is_limited=False, may_refuse=False, is_by_load=True),
    "first come, any rank": Strategy(
        is_limited=False, may_refuse=False, is_by_load=False
    ),
    "former": Strategy(is_limited=False, may_refuse=True, is_by_load=True),
    "bounded by pauses": Strategy(is_limited=True, may_refuse=True, is_by_load=True),
    "and late ones last": Strategy(True, True, True, is_late_last=True),
}


@dataclass
class _Stream:
    arrived_at_ms: float
    queued_at_ms: float
    n_events_left: int
    has_returned: bool = False
    rank: int = 0
    longest_pause_ms: float = 0.0
    first_at_ms: float | None = None


class _Replay:
    def __init__(self, pattern: Pattern, strategy: Strategy, seed: int):
        self._pattern, self._strategy = pattern, strategy
        self._rng = random.Random(seed)
        self._loads = [0] * N_RANKS
        self._running: list[_Stream] = []
        self._queue: list[_Stream] = []
        self._returning: list[tuple[float, int, _Stream]] = []
        self._retry_after_schedule = RetryAfterSchedule()
        self._pause_tracker = PauseTracker()
        self._n_ended = 0
        self._ended: list[tuple[float, bool]] = []
        self._n_failed = 0

    def run(self) -> Result:
        arrivals = self._arrivals()
        n_asked, at_ms = len(arrivals), 0.0
        arrivals.reverse()
        while at_ms < ARRIVALS_LENGTH_MS + TIMEOUT_MS:
            while arrivals and arrivals[-1].queued_at_ms <= at_ms:
                self._queue.append(arrivals.pop())
            while self._returning and self._returning[0][0] <= at_ms:
                stream = heapq.heappop(self._returning)[2]
                stream.queued_at_ms = at_ms
                self._queue.append(stream)
            self._admit(at_ms)
            at_ms += self._pass(at_ms)
        self._n_failed += len(self._queue) + len(self._running) + len(self._returning)
        n_on_time = sum(is_on_time for _, is_on_time in self._ended)
        n_late = len(self._ended) - n_on_time
        worth = (n_on_time + LATE_VALUE * n_late) / n_asked
        return Result(n_asked, n_on_time, n_late, self._n_failed, round(worth, 3))

    def _arrivals(self) -> list[_Stream]:
        found, at_ms = [], 0.0
        while at_ms < ARRIVALS_LENGTH_MS:
            rate = self._pattern.arrivals_per_s(at_ms)
            if rate <= 0:
                at_ms += 10.0
                continue
            at_ms += 1_000 * self._rng.expovariate(rate)
            n_events = max(2, min(66, int(self._rng.lognormvariate(3.1, 0.7))))
            found.append(_Stream(at_ms, at_ms, n_events))
        return found

    def _admit(self, at_ms: float) -> None:
        waiting, self._queue = self._queue, []
        if self._strategy.is_late_last:
            waiting.sort(key=lambda w: (_is_late(w, at_ms), w.arrived_at_ms))
        for stream in waiting:
            rank = self._choose(at_ms) if not self._queue else None
            if rank is not None:
                stream.rank = rank
                self._loads[rank] += 1
                self._running.append(stream)
            elif at_ms - stream.arrived_at_ms > TIMEOUT_MS:
                self._n_failed += 1
            elif at_ms - stream.queued_at_ms <= self._max_wait_ms(stream):
                self._queue.append(stream)
            elif stream.has_returned:
                self._n_failed += 1
            else:
                self._refuse(stream, at_ms)

    def _max_wait_ms(self, stream: _Stream) -> float:
        if not self._strategy.may_refuse:
            return float("inf")
        if self._strategy.is_late_last and stream.has_returned:
            return RETURNING_MAX_WAIT_MS
        return OBJECTIVE_WAIT_FRACTION * OBJECTIVE_MS

    def _refuse(self, stream: _Stream, at_ms: float) -> None:
        stream.has_returned = True
        freed_per_s = self._n_ended / max(at_ms / 1_000, 1.0)
        due_ms = at_ms + self._retry_after_schedule.next_delay_ms(at_ms, freed_per_s)
        heapq.heappush(self._returning, (due_ms, id(stream), stream))

    def _choose(self, at_ms: float) -> int | None:
        if self._strategy.is_limited and len(self._running) >= self._limit(at_ms):
            return None
        if not self._strategy.is_by_load:
            free = [rank for rank, n in enumerate(self._loads) if n < N_SLOTS]
            return self._rng.choice(free) if free else None
        ranks = [Candidate(str(rank), n, N_SLOTS) for rank, n in enumerate(self._loads)]
        chosen = choose_upstream(ranks, (), self._rng, 1.0)
        return int(chosen.id) if chosen else None

    def _limit(self, at_ms: float) -> float:
        pause_ms = self._pause_tracker.peak_ms(at_ms)
        n_running = len(self._running)
        return min(
            max_running(
                n_running, N_TOTAL_SLOTS, pause_ms, FIXED_MS, PAUSE_OBJECTIVE_MS
            ),
            max_running_before_shift(
                ENGINE, N_RANKS, N_TOTAL_SLOTS, FIXED_MS, PAUSE_OBJECTIVE_MS
            ),
        )

    def _pass(self, at_ms: float) -> float:
        """Simulate one pass; returns its duration."""
        share, skew = ENGINE.expert_share, self._pattern.skew(at_ms)
        own_ms = (1 - share) * max(self._loads) * RANK_REQUEST_MS
        expert_ms = share * skew * sum(self._loads) / N_RANKS * RANK_REQUEST_MS
        pass_ms = FIXED_MS + own_ms + expert_ms
        ends_ms = at_ms + pass_ms
        still_running = []
        for stream in self._running:
            if stream.first_at_ms is None:
                stream.first_at_ms = ends_ms + FIRST_EVENT_MS
            else:
                stream.longest_pause_ms = max(stream.longest_pause_ms, pass_ms)
            stream.n_events_left -= 1
            if stream.n_events_left:
                still_running.append(stream)
            else:
                self._end(stream, ends_ms)
        if self._running:
            self._pause_tracker.record(pass_ms, ends_ms)
        self._running = still_running
        return pass_ms

    def _end(self, stream: _Stream, at_ms: float) -> None:
        self._loads[stream.rank] -= 1
        self._n_ended += 1
        if at_ms - stream.arrived_at_ms > TIMEOUT_MS:
            self._n_failed += 1
            return
        is_prompt = stream.first_at_ms - stream.arrived_at_ms <= OBJECTIVE_MS
        is_on_time = is_prompt and stream.longest_pause_ms <= PAUSE_OBJECTIVE_MS
        self._ended.append((at_ms, is_on_time))


def _is_late(stream: _Stream, at_ms: float) -> bool:
    return at_ms - stream.arrived_at_ms > OBJECTIVE_WAIT_FRACTION * OBJECTIVE_MS


def replay(pattern: Pattern, strategy: Strategy, seed: int) -> Result:
    """Return the outcomes of a pattern's requests under one strategy.

    Examples
    --------
    >>> result = replay(PATTERNS["calm"], WAYS["bounded by pauses"], seed=1)
    >>> result.n_on_time == result.n_asked
    True
    """
    return _Replay(pattern, strategy, seed).run()


def main() -> None:
    """Print the results of each strategy by pattern."""
    arguments = docopt(__doc__)
    seed = int(arguments["--seed"])
    results = {
        pattern: {
            strategy: replay(PATTERNS[pattern], STRATEGIES[strategy], seed)
            for strategy in STRATEGIES
        }
        for pattern in PATTERNS
    }
    if arguments["--json"]:
        print(
            json.dumps(
                {
                    p: {w: r._asdict() for w, r in by_strategy.items()}
                    for p, by_strategy in results.items()
                }
            )
        )
        return
    for pattern, by_strategy in results.items():
        for strategy, result in by_strategy.items():
            print(f"{pattern:8} {strategy:22} {result}")


if __name__ == "__main__":
    main()
