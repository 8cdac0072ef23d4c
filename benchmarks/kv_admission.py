"""Compare policies that admit drafting streams to the KV memory of an engine.

Usage:
  kv_admission [options]
  kv_admission (-h | --help)

Options:
  --limits L   KV memory of the engines in tokens [default: 32768,131072].
  --mixes M    Mixes of streams [default: briefs,even,summaries].
  --loads X    Memory demand relative to the limit [default: 0.7,1.0,1.5].
  --drifts D   Factors by which lengths grow during a run [default: 1,2].
  --seconds S  Duration of the arrivals [default: 240].
  --ways W     Policies to compare; all of them if not given.
  --seed N     Seed of the arrivals [default: 1].
  --json       Print one JSON document (always so).
  -h --help    Show this text.

All results except ``check_us`` are reproducible for a given seed.
"""

from __future__ import annotations

import json
import time
from collections import deque
from collections.abc import Sequence
from typing import Any, NamedTuple

from docopt import docopt

from .kv_model import TICK_MS, AdmittedStream, Arrival, Engine, arrivals
from .kv_ways import WAYS, AdmissionPolicy

__all__ = ["Setup", "run_way"]

WARM_UP_FRACTION = 0.2
MAX_WAIT_MS = 20_000.0


class Setup(NamedTuple):
    """Parameters of an engine and its arrivals."""

    limit_tokens: int
    mix: str
    load: float
    drift: float
    duration_ms: float
    seed: int


class _Measurements:
    def __init__(self) -> None:
        self.n_admitted = 0
        self.n_refused = 0
        self.n_completed = 0
        self.n_completed_tokens = 0
        self.n_ticks = 0
        self.n_overflow_ticks = 0
        self.n_used = 0
        self.n_evictions = 0
        self.n_recomputed = 0
        self.n_prefilled = 0
        self.waits_ms: list[float] = []
        self.n_checks = 0
        self.check_s = 0.0


def run_way(
    setup: Setup, policy: AdmissionPolicy, streams: Sequence[Arrival]
) -> dict[str, Any]:
    """Run one policy on the given streams and return its measurements."""
    engine = Engine(setup.limit_tokens)
    waiting: deque[Arrival] = deque()
    counts = _Measurements()
    next_index = 0
    for tick in range(int(setup.duration_ms / TICK_MS)):
        now_ms = tick * TICK_MS
        if now_ms < WARM_UP_FRACTION * setup.duration_ms:
            counts = _Measurements()
        while next_index < len(streams) and streams[next_index].at_ms <= now_ms:
            waiting.append(streams[next_index])
            next_index += 1
        while waiting and now_ms - waiting[0].at_ms > MAX_WAIT_MS:
            waiting.popleft()
            counts.n_refused += 1
        while waiting and _check(policy, waiting[0], counts):
            arrival = waiting.popleft()
            stream = AdmittedStream(arrival)
            policy.begin(stream)
            engine.admit(stream)
            counts.n_admitted += 1
            counts.waits_ms.append(now_ms - arrival.at_ms)
        _tick(engine, policy, counts)
    return _summary(setup, counts)


def _check(policy: AdmissionPolicy, arrival: Arrival, counts: _Measurements) -> bool:
    start_s = time.perf_counter()
    may_start = policy.may_start(arrival)
    counts.check_s += time.perf_counter() - start_s
    counts.n_checks += 1
    return may_start


def _tick(engine: Engine, policy: AdmissionPolicy, counts: _Measurements) -> None:
    n_evictions = engine.n_evictions
    n_recomputed = engine.n_recomputed_tokens
    n_prefilled = engine.n_prefilled_tokens
    for stream in engine.tick():
        policy.end(stream)
        counts.n_completed += 1
        counts.n_completed_tokens += stream.n_made
    counts.n_ticks += 1
    counts.n_used += engine.n_used
    counts.n_evictions += engine.n_evictions - n_evictions
    counts.n_overflow_ticks += engine.n_evictions > n_evictions
    counts.n_recomputed += engine.n_recomputed_tokens - n_recomputed
    counts.n_prefilled += engine.n_prefilled_tokens - n_prefilled


def _summary(setup: Setup, counts: _Measurements) -> dict[str, Any]:
    waits_ms = sorted(counts.waits_ms)
    seconds = counts.n_ticks * TICK_MS / 1000
    n_tokens = counts.n_ticks * setup.limit_tokens
    index = min(len(waits_ms) - 1, int(0.95 * len(waits_ms)))
    n_decided = counts.n_admitted + counts.n_refused
    return {
        "n_admitted": counts.n_admitted,
        "n_evictions": counts.n_evictions,
        "evictions_per_1000": round(1000 * counts.n_evictions / counts.n_admitted, 2),
        "overflow_time_share": round(counts.n_overflow_ticks / counts.n_ticks, 5),
        "recomputed_share": round(counts.n_recomputed / counts.n_prefilled, 5),
        "kv_use": round(counts.n_used / n_tokens, 4),
        "whole_per_s": round(counts.n_completed / seconds, 2),
        "whole_tokens_per_s": round(counts.n_completed_tokens / seconds, 1),
        "refused_share": round(counts.n_refused / max(1, n_decided), 4),
        "wait_p95_ms": round(waits_ms[index]),
        "check_us": round(1e6 * counts.check_s / counts.n_checks, 1),
    }


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    names = arguments["--ways"].split(",") if arguments["--ways"] else list(WAYS)
    seed = int(arguments["--seed"])
    duration_ms = 1000 * float(arguments["--seconds"])
    results = []
    for limit in arguments["--limits"].split(","):
        for mix in arguments["--mixes"].split(","):
            for load in arguments["--loads"].split(","):
                for drift in arguments["--drifts"].split(","):
                    setup = Setup(
                        int(limit), mix, float(load), float(drift), duration_ms, seed
                    )
                    streams = arrivals(mix, setup.limit_tokens, *setup[2:])
                    ways = {
                        name: run_way(setup, WAYS[name](setup.limit_tokens), streams)
                        for name in names
                    }
                    results.append({**setup._asdict(), "ways": ways})
    print(json.dumps({"seed": seed, "runs": results}, indent=1))


if __name__ == "__main__":
    main()
