"""Compare policies that choose an upstream, on the same arrivals.

Usage:
  routing [options]
  routing (-h | --help)

Options:
  --hosts H    Upstream hosts, in groups of 8 ranks [default: 16].
  --entries E  Entry hosts [default: 13].
  --lag-ms L   Age of a load report on arrival [default: 50].
  --loss P     Fraction of load reports that are lost [default: 0.02].
  --delay-ms D  One-way delay between data centres [default: 0].
  --far-cost F  Requests that the policy "ours" adds to the load of an
               agent in another data centre [default: 0].
  --seconds S  Duration of the arrivals [default: 30].
  --seed N     Seed of the arrivals and choices [default: 1].
  --json       Print one JSON document (always so).
  -h --help    Show this text.

All results except ``choice_us`` are reproducible for a given seed.
"""

from __future__ import annotations

import json
import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from docopt import docopt

from poplarward.protocol import encode
from poplarward.requests.routing.connections import report_interval_ms
from poplarward.requests.routing.subset import PoolMember, choose_subset

from .routing_model import (
    Arrival,
    EngineGroup,
    EventLoop,
    Host,
    Measures,
    arrivals,
)
from .routing_policies import POLICIES, Policy

__all__ = ["Setup", "run_policy"]

N_RANKS_PER_GROUP = 8
WARM_UP_MS = 3_000.0
N_DATA_CENTRES = 3


class Setup(NamedTuple):
    """Sizes, delays and loss of a simulated run."""

    n_hosts: int
    n_entries: int
    lag_ms: float
    loss: float
    duration_ms: float
    seed: int
    delay_ms: float = 0.0
    far_cost_requests: float = 0.0


class _Run:
    """Simulation of one policy on the arrivals that all policies share."""

    def __init__(self, setup: Setup, policy: type[Policy], subsets: list[list[str]]):
        self.setup = setup
        self.loop = EventLoop()
        self.measures = Measures()
        self.n_report_bytes = 0
        names = [f"agent-{index}" for index in range(setup.n_hosts)]
        self.hosts = {name: Host(name) for name in names}
        hosts = list(self.hosts.values())
        for first in range(0, len(hosts), N_RANKS_PER_GROUP):
            group = hosts[first : first + N_RANKS_PER_GROUP]
            EngineGroup(self.loop, group, self.measures)
        group_of = {
            name: f"group-{index // N_RANKS_PER_GROUP}"
            for index, name in enumerate(names)
        }
        self.entries = [
            policy(subset, 1000 * setup.seed + index, group_of)
            for index, subset in enumerate(subsets)
        ]
        for index, entry in enumerate(self.entries):
            for name in names:
                if self._delay_ms(index, name):
                    entry.far_costs[name] = setup.far_cost_requests
        self._rng = random.Random(setup.seed)
        self._sequence = 0
        for index, subset in enumerate(subsets):
            interval_ms = report_interval_ms(len(subset))
            for name in subset:
                begin_ms = self._rng.random() * interval_ms
                self.loop.at(begin_ms, self._send_report, name, index, interval_ms)

    def arrive(self, arrival: Arrival) -> None:
        """Route one request to an upstream host."""
        entry = self.entries[arrival.entry]
        agent = entry.choose(arrival, self.loop.now_ms)
        self._sequence += 1
        sequence = self._sequence
        entry.begin(agent, sequence, self.loop.now_ms)
        submit = self.hosts[agent].submit
        delay_ms = self._delay_ms(arrival.entry, agent)
        if not delay_ms:
            submit(arrival, sequence, lambda: entry.end(agent, sequence))
            return

        def end() -> None:
            self.loop.at(self.loop.now_ms + delay_ms, entry.end, agent, sequence)

        # An earlier arrival time adds the delay of the response to the time to first
        # token.
        sent = arrival._replace(at_ms=arrival.at_ms - delay_ms)
        self.loop.at(self.loop.now_ms + delay_ms, submit, sent, sequence, end)

    def _delay_ms(self, entry: int, agent: str) -> float:
        group = int(agent.removeprefix("agent-")) // N_RANKS_PER_GROUP
        is_near = entry % N_DATA_CENTRES == group % N_DATA_CENTRES
        return 0.0 if is_near else self.setup.delay_ms

    def _send_report(self, name: str, index: int, interval_ms: float) -> None:
        report = self.hosts[name].report(index)
        arrives_ms = self.loop.now_ms + self.setup.lag_ms
        if index == 0:
            self.n_report_bytes += len(encode(report))
        if self._rng.random() >= self.setup.loss:
            receive = self.entries[index].report
            self.loop.at(arrives_ms, receive, name, report, arrives_ms)
        self.loop.at(
            self.loop.now_ms + interval_ms, self._send_report, name, index, interval_ms
        )


def run_policy(
    setup: Setup, policy: type[Policy], requests: Sequence[Arrival]
) -> dict[str, Any]:
    """Run one policy and return its measurements."""
    entries = [PoolMember(f"entry-{i}", "site") for i in range(setup.n_entries)]
    agents = [PoolMember(f"agent-{i}", "site") for i in range(setup.n_hosts)]
    subsets = [choose_subset(entry, entries, agents) for entry in entries]
    run = _Run(setup, policy, subsets)
    for request in requests:
        run.loop.at(request.at_ms, run.arrive, request)
    run.loop.run(WARM_UP_MS)
    run.measures.reset()
    run.loop.run(setup.duration_ms)
    return _summary(run, len(requests))


def _summary(run: _Run, n_requests: int) -> dict[str, Any]:
    measures = run.measures
    seconds = run.setup.duration_ms / 1000
    choice_s = sum(entry.choice_s for entry in run.entries)
    return {
        "urgent": _class_summary(measures, True),
        "drafting": _class_summary(measures, False),
        "step_skew": round(measures.skew_sum / measures.n_steps, 3),
        "work_skew_1s": round(_mean(measures.window_skews), 3),
        "fullest_rank_ms": round(measures.fullest_work_ms / measures.n_steps, 3),
        "mean_rank_ms": round(measures.mean_work_ms / measures.n_steps, 3),
        "cache_hit_share": round(measures.n_hits / measures.n_lookups, 3),
        "report_bytes_per_s": round(run.n_report_bytes / seconds),
        "choice_us": round(1e6 * choice_s / n_requests, 1),
    }


def _class_summary(measures: Measures, urgent: bool) -> dict[str, float]:
    first = sorted(measures.first_token_ms[urgent])
    between = measures.between_ms[urgent]
    summary = {}
    for fraction in (0.5, 0.95, 0.99):
        percent = round(100 * fraction)
        index = min(len(first) - 1, int(fraction * len(first)))
        summary[f"first_token_p{percent}_ms"] = round(first[index], 1)
        summary[f"between_p{percent}_ms"] = _weighted_quantile(between, fraction)
    return summary


def _weighted_quantile(counts: Mapping[int, int], fraction: float) -> int:
    target = fraction * sum(counts.values())
    cumulative = 0
    for value in sorted(counts):
        cumulative += counts[value]
        if cumulative >= target:
            return value
    return 0


def _mean(values: Sequence[float]) -> float:
    return sum(values) / max(1, len(values))


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    setup = Setup(
        n_hosts=int(arguments["--hosts"]),
        n_entries=int(arguments["--entries"]),
        lag_ms=float(arguments["--lag-ms"]),
        loss=float(arguments["--loss"]),
        duration_ms=1000 * float(arguments["--seconds"]),
        seed=int(arguments["--seed"]),
        delay_ms=float(arguments["--delay-ms"]),
        far_cost_requests=float(arguments["--far-cost"]),
    )
    requests = arrivals(setup.n_hosts, setup.n_entries, setup.duration_ms, setup.seed)
    results = {
        name: run_policy(setup, policy, requests) for name, policy in POLICIES.items()
    }
    print(json.dumps({**setup._asdict(), "policies": results}, indent=1))


if __name__ == "__main__":
    main()
