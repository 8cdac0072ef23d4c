"""Measures how the cost of an entry host's platform work scales.

Usage:
  platform_slopes [--json] [--seed N]

Options:
  --json    Print one JSON object.
  --seed N  Seed of the loads [default: 1].
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

import cbor2
import structlog
import trio
import trio.testing
from docopt import docopt

from poplarward.coordination.rebalancing.placement import initial_layers
from poplarward.direct.heartbeat_format import (
    HostHeartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from poplarward.direct.host_heartbeats import (
    MAX_DATAGRAM_BYTES,
    MIN_INTERVAL_MS_PER_PEER,
)
from poplarward.direct.map_need import min_skew_gain
from poplarward.direct.map_planner import GroupPlanner
from poplarward.direct.model import EngineProfile
from poplarward.direct.pause_tracker import PauseTracker
from poplarward.direct.placement import Candidate, choose_upstream
from poplarward.direct.service_load import service_load
from poplarward.direct.suspect_exchange import SuspectExchange
from poplarward.direct.upstream_limits import LimitedUpstream, UpstreamLimits
from poplarward.requests.suspects import SuspectTable, request_digest
from poplarward.requests.suspects.entry import MAX_CRASH_IDS
from poplarward.requests.suspects.identification import PROOF_CRASHES

from .worst_load import ENGINE

__all__ = ["measure"]

N_REPEATS = 20
GROUP_SIZES = ((16, 4, 64, 5, 2), (72, 12, 144, 3, 2), (256, 58, 64, 2, 2))
UPSTREAM_COUNTS = (16, 72, 1_000)
SUSPECT_COUNTS = (1, 16, 1_024)
HOST_COUNTS = (13, 21, 60, 300)
SUSPECT_BODY_BYTES = 2_048


def measure(seed: int) -> dict[str, float]:
    """Return processor times and message sizes by name."""
    rng = random.Random(seed)
    results: dict[str, float] = {}
    for n_upstreams in UPSTREAM_COUNTS:
        results |= _measure_heartbeats(n_upstreams, rng)
        results |= _measure_placement(n_upstreams, rng)
    for n_requests in SUSPECT_COUNTS:
        results |= trio.run(_measure_suspects, n_requests, rng)
    for n_hosts in HOST_COUNTS:
        clock = trio.testing.MockClock(autojump_threshold=0)
        results |= trio.run(_measure_shared, n_hosts, rng, clock=clock)
    for size in GROUP_SIZES:
        results |= _measure_planning(*size, rng)
    return results


def _measure_heartbeats(n_upstreams: int, rng: random.Random) -> dict[str, float]:
    loads = {f"i-{rng.getrandbits(40):010x}": 3 for _ in range(n_upstreams)}
    heartbeat = HostHeartbeat(
        "front-1", "ab12cd34", 7, "10.1.0.40:8227", True, loads, {}, False
    )
    data = encode_heartbeat(heartbeat)
    return {
        f"beat_bytes_{n_upstreams}": len(data),
        f"beat_encode_us_{n_upstreams}": _time_us(lambda: encode_heartbeat(heartbeat)),
        f"beat_decode_us_{n_upstreams}": _time_us(lambda: decode_heartbeat(data)),
    }


async def _measure_suspects(n_requests: int, rng: random.Random) -> dict[str, float]:
    """Measure verdicts on requests that were at three crashes each."""
    table, other = SuspectTable(), SuspectTable()
    digests = [rng.getrandbits(64) for _ in range(n_requests)]
    for digest in digests:
        for _ in range(PROOF_CRASHES):
            table.record_crash(digest, rng.getrandbits(32))
    identify_us = _time_us(table.quarantine_causes, n_repeats=1)
    plain = HostHeartbeat("front-1", "ab12cd34", 7, "10.1.0.40:80", True, {}, {}, False)
    verdicts = SuspectExchange(table).next_verdicts(MAX_DATAGRAM_BYTES)
    heartbeat = plain._replace(verdicts=verdicts)
    data = encode_heartbeat(heartbeat)
    n_bytes = len(data) - len(encode_heartbeat(plain))
    other.merge_shared(verdicts)
    body = rng.randbytes(SUSPECT_BODY_BYTES)
    return {
        f"suspect_entries_{n_requests}": len(verdicts),
        f"suspect_bytes_{n_requests}": n_bytes,
        f"suspect_encode_us_{n_requests}": _time_us(lambda: encode_heartbeat(heartbeat))
        - _time_us(lambda: encode_heartbeat(plain)),
        f"suspect_decode_us_{n_requests}": _time_us(lambda: decode_heartbeat(data)),
        f"suspect_merge_us_{n_requests}": _time_us(
            lambda: other.merge_shared(verdicts)
        ),
        f"suspect_identify_us_{n_requests}": identify_us,
        f"suspect_request_us_{n_requests}": _time_us(
            lambda: table.verdict(request_digest("h", "w", "POST", "/read/1", body))
        ),
    }


async def _measure_shared(n_hosts: int, rng: random.Random) -> dict[str, float]:
    """Measure the bytes that a host sends of verdicts on parts and of limits.

    Verdicts: three parts are quarantined, and one crash names six requests with three
    parts each. Limits: 16 upstreams of 8 requests/s, which all hosts use evenly.
    """
    table = SuspectTable()
    for digest in [rng.getrandbits(64) for _ in range(3)]:
        for _ in range(MAX_CRASH_IDS):
            table.record_crash(digest, rng.getrandbits(32), is_part=True)
        table.quarantine(digest)
    verdicts = SuspectExchange(table)
    interval_ms = max(10.0, MIN_INTERVAL_MS_PER_PEER * n_hosts)
    resting = await _sent_bytes(verdicts, n_hosts, 250.0, 20.0)
    for _ in range(6):
        crash = rng.getrandbits(32)
        table.record_crash(rng.getrandbits(64), crash)
        for _ in range(3):
            table.record_crash(rng.getrandbits(64), crash, is_part=True)
    crashing = await _sent_bytes(verdicts, n_hosts, interval_ms, 5.0)
    limits = UpstreamLimits("front-1")
    upstreams = [LimitedUpstream(f"u{n}", "app", n + 2**31) for n in range(16)]
    for upstream in upstreams:
        limits.record_response(upstream, 8.0, 0.0, 0.0)
    limit_bytes, sends = 0, 0.0
    n_beats = int(10_000.0 / interval_ms)
    plain = HostHeartbeat("front-1", "ab12cd34", 7, "10.1.0.40:80", True, {}, {}, False)
    n_plain = len(encode_heartbeat(plain))
    for beat in range(n_beats):
        at_ms = beat * interval_ms
        sends += 16 * 8.0 / n_hosts * interval_ms / 1000
        while sends >= 1:
            sends -= 1
            limits.record_send(rng.choice(upstreams), at_ms)
        reports = limits.next_reports(at_ms)
        limit_bytes += len(encode_heartbeat(plain._replace(limits=reports))) - n_plain
    return {
        f"part_bytes_per_s_{n_hosts}": resting / 20.0,
        f"part_crash_bytes_{n_hosts}": crashing - resting * 5.0 / 20.0,
        f"limit_bytes_per_s_{n_hosts}": limit_bytes * (n_hosts - 1) / 10.0,
    }


async def _sent_bytes(
    exchange: SuspectExchange, n_hosts: int, interval_ms: float, duration_s: float
) -> float:
    """Return the bytes of verdicts that a host sends to all others in a time."""
    n_bytes, began = 0, trio.current_time()
    while trio.current_time() < began + duration_s:
        verdicts = exchange.next_verdicts(MAX_DATAGRAM_BYTES, n_hosts)
        n_bytes += sum(len(cbor2.dumps(list(verdict))) for verdict in verdicts)
        await trio.sleep(interval_ms / 1000)
    return n_bytes * (n_hosts - 1)


def _measure_placement(n_upstreams: int, rng: random.Random) -> dict[str, float]:
    candidates = [
        Candidate(f"u{n}", rng.randrange(6), 6, base_load=6.7)
        for n in range(n_upstreams)
    ]
    pause_tracker = PauseTracker()
    pause_tracker.record(60.0)
    return {
        f"placement_us_{n_upstreams}": _time_us(
            lambda: choose_upstream(candidates, (), rng, 1.0)
        ),
        f"load_us_{n_upstreams}": _time_us(
            lambda: service_load(ENGINE, candidates, pause_tracker, 120.0, 4.0)
        ),
    }


def _measure_planning(
    n_ranks: int,
    n_layers: int,
    n_experts: int,
    n_expert_slots: int,
    n_spare_slots: int,
    rng: random.Random,
) -> dict[str, float]:
    """Measure planning after a shift of demand: about 3 % of the experts are hot."""
    profile = EngineProfile(
        6,
        247_000,
        4.84,
        0.724,
        0.022,
        74_800.0,
        6,
        200.0,
        835.0,
        159.0,
        n_layers,
        n_experts,
        n_expert_slots,
        n_spare_slots,
        2_500.0,
        180_000.0,
        0.85,
    )
    n_held_slots = min(n_expert_slots, -(-n_experts // n_ranks))
    layers = initial_layers(n_ranks, n_experts, n_layers, n_held_slots)
    started_s = time.process_time()
    planner = GroupPlanner(profile)
    tokens = [
        rng.expovariate(1) * (2_000 if rng.random() < 0.03 else 100)
        for _ in range(n_layers * n_experts)
    ]
    planner.observe(tokens, 10, 100)
    plan = planner.plan(layers, [1.0] * n_ranks, 0.06, min_skew_gain(True))
    name = f"{n_ranks}x{n_layers}x{n_experts}"
    return {
        f"plan_ms_{name}": (time.process_time() - started_s) * 1000,
        f"plan_copies_{name}": 0 if plan is None else plan.n_copies,
        f"plan_skew_before_{name}": 0 if plan is None else plan.skew_before,
        f"plan_skew_after_{name}": 0 if plan is None else plan.skew_after,
    }


def _time_us(call: Callable[[], object], n_repeats: int = N_REPEATS) -> float:
    started_s = time.process_time()
    for _ in range(n_repeats):
        call()
    return (time.process_time() - started_s) / n_repeats * 1e6


def main() -> None:
    """Run the benchmark and print its results."""
    arguments = docopt(__doc__)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    results = measure(int(arguments["--seed"]))
    if arguments["--json"]:
        print(json.dumps(results))
        return
    for name, value in results.items():
        print(f"{name:32} {value:12.2f}")


if __name__ == "__main__":
    main()
