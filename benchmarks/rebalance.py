"""Compares ways to rebalance the experts of a group, on the same drifting load.

Usage:
  rebalance [options]
  rebalance (-h | --help)

Options:
  --ranks R              Ranks of the group [default: 16].
  --experts X            Experts of a layer [default: 64].
  --layers L             Layers of the model [default: 8].
  --redundant-slots K    Slots of a rank and layer beyond the fewest [default: 1].
  --drift D              Random walk of log-popularity in 1,000 steps [default: 0.15].
  --steps S              Steps to run [default: 20000].
  --skew-weight A        The deployment's weight of skew [default: 3].
  --cost-weight B        The deployment's weight of rebalancing cost [default: 1].
  --counts-epochs N      Epochs of 50 steps between counts taken in [default: 1].
  --exact-counts         Take counts in as they are, not as agents pack them.
  --greedy-period P      Steps between periodic greedy's plans [default: 500].
  --greedy-threshold T   Skew at which threshold greedy plans [default: 1.15].
  --seed N               Seed of the load [default: 1].
  --json                 Print one JSON document; the default is a table.
  -h --help              Show this text.

The weighted sum is, for 1,000 steps, A times the time lost to skew plus B times the
rebalancing cost, both in steps without skew. Cost is the links' time taken by moved
weights plus the slower part of the steps during which weights were received.
"""

from __future__ import annotations

import json
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from docopt import docopt

from benchmarks.expert_workload import (
    EPOCH_STEPS,
    Counts,
    Epoch,
    ExpertWorkload,
    WorkloadOptions,
)
from benchmarks.rebalance_policies import (
    Never,
    Observed,
    Ours,
    PeriodicGreedy,
    Policy,
    ThresholdGreedy,
)
from poplarward.coordination.rebalancing import (
    CostModel,
    Layer,
    LoadEstimator,
    Move,
    PlannerWeights,
    SpeedEstimator,
    apply_moves,
    initial_layers,
    plan_transfers,
    rank_work,
    work_lower_bound,
)
from poplarward.protocol.expert_counts import pack_counts, unpack_counts

__all__ = ["main", "run"]

COSTS = CostModel(
    expert_bytes=44_000_000,
    link_bytes_per_s=1e9,
    store_bytes_per_s=2e8,
    step_ms=40.0,
    slowed_share=0.2,
)


@dataclass
class Course:
    """How one policy fares."""

    policy: Policy
    layers: tuple[Layer, ...]
    observed: Observed
    counts_epochs: int = 1
    has_exact_counts: bool = False
    moving: tuple[Move, ...] = ()
    busy_until_step: int = 0
    skews: list[float] = field(default_factory=list)
    n_moved: int = 0
    n_slowed: int = 0
    store_bytes: int = 0
    plan_us: list[float] = field(default_factory=list)
    observe_us: float = 0.0

    def run_epoch(self, epoch: Epoch) -> None:
        """Run the steps of an epoch, take in its counts, and plan."""
        if self.moving and epoch.step >= self.busy_until_step:
            self.layers = apply_moves(self.layers, self.moving)
            self.moving = ()
        self.skews.append(step_skew(self.layers, epoch))
        if (epoch.step // EPOCH_STEPS + 1) % self.counts_epochs:
            return
        see = seen_loads if self.has_exact_counts else packed_loads
        reported = [see(self.layers[c.layer], c) for c in epoch.counts]
        started = time.process_time()
        for counts, loads in zip(epoch.counts, reported, strict=True):
            self.observed.loads.observe(counts.layer, loads, counts.at_step)
        for rank, ms in epoch.busy_ms_per_token.items():
            self.observed.speeds.observe(rank, 1.0, ms)
        self.observe_us += (time.process_time() - started) * 1e6
        if not self.moving:
            self._plan(epoch.step + EPOCH_STEPS)

    def _plan(self, step: int) -> None:
        started = time.process_time()
        moves = self.policy.plan(self.layers, self.observed, step)
        self.plan_us.append((time.process_time() - started) * 1e6)
        if not moves:
            return
        summary = plan_transfers(self.layers, moves, COSTS.expert_bytes)
        n_slowed = COSTS.transfer_steps(summary)
        self.moving = tuple(moves)
        self.busy_until_step = step + n_slowed
        self.n_moved += len(moves)
        self.n_slowed += n_slowed
        self.store_bytes += summary.store_bytes


def new_observed(options: WorkloadOptions) -> Observed:
    """Return estimators that have seen nothing."""
    loads = LoadEstimator(options.n_layers, options.n_experts)
    return Observed(loads, SpeedEstimator(options.n_ranks))


def step_skew(layers: tuple[Layer, ...], epoch: Epoch) -> float:
    """Return the time of a step over that without skew."""
    longest = total = 0.0
    for layer, loads in zip(layers, epoch.loads, strict=True):
        work = rank_work(layer, loads)
        total += sum(work) / len(work)
        for rank, speed in epoch.speeds.items():
            work[rank] /= speed
        longest += max(work)
    return longest / total


def seen_loads(layer: Layer, counts: Counts) -> list[float | None]:
    """Return the counts of the experts that a rank which reported holds."""
    seen: list[float | None] = [None] * len(counts.noisy_loads)
    for rank, row in enumerate(layer):
        if rank not in counts.lost_ranks:
            for expert in row:
                seen[expert] = counts.noisy_loads[expert]
    return seen


def packed_loads(layer: Layer, counts: Counts) -> list[float | None]:
    """Return the counts of the experts as they arrive, each replica's packed."""
    n_replicas = Counter(expert for row in layer for expert in row)
    seen = seen_loads(layer, counts)
    parts = [
        0 if load is None else round(load / n_replicas[expert])
        for expert, load in enumerate(seen)
    ]
    [[received]] = unpack_counts(pack_counts([[parts]]), 1, len(parts))
    return [
        None if load is None else float(part * n_replicas[expert])
        for expert, (load, part) in enumerate(zip(seen, received, strict=True))
    ]


def run(
    options: WorkloadOptions,
    n_slots: int,
    weights: PlannerWeights,
    baselines: list[Policy],
    counts_epochs: int = 1,
    has_exact_counts: bool = False,
) -> dict[str, Any]:
    """Run every policy on one load and return the document."""
    layers = initial_layers(
        options.n_ranks, options.n_experts, options.n_layers, n_slots
    )
    policies = [*baselines, Ours(weights, COSTS)]
    courses = [
        Course(policy, layers, new_observed(options), counts_epochs, has_exact_counts)
        for policy in policies
    ]
    bounds = []
    for epoch in ExpertWorkload(options).epochs():
        for course in courses:
            course.run_epoch(epoch)
        bounds.append(bound_skew(epoch, options.n_ranks, n_slots))
    best_possible = {"skew_mean": _round(statistics.mean(bounds))}
    best_possible["weighted_sum"] = _round(
        1000 * weights.skew_weight * (statistics.mean(bounds) - 1)
    )
    results = {
        course.policy.name: summarize(course, options, weights) for course in courses
    }
    return {
        "options": options._asdict(),
        "n_slots": n_slots,
        "weights": weights._asdict(),
        "policies": results,
        "best_possible": best_possible,
    }


def bound_skew(epoch: Epoch, n_ranks: int, n_slots: int) -> float:
    """Return a skew that no placement can be below."""
    longest = sum(work_lower_bound(loads, n_ranks, n_slots) for loads in epoch.loads)
    return longest / (sum(map(sum, epoch.loads)) / n_ranks)


def summarize(
    course: Course, options: WorkloadOptions, weights: PlannerWeights
) -> dict[str, float]:
    """Return the figures of one policy."""
    skews = sorted(course.skews)
    mean = statistics.mean(skews)
    cost = COSTS.cost_steps(course.n_moved, options.n_ranks, course.n_slowed)
    per_1000 = 1000 / options.n_steps
    return {
        "skew_mean": _round(mean),
        "skew_p95": _round(skews[int(0.95 * len(skews))]),
        "n_experts_moved": course.n_moved,
        "bytes_moved": course.n_moved * COSTS.expert_bytes,
        "store_bytes": course.store_bytes,
        "n_steps_slowed": course.n_slowed,
        "plan_us_mean": round(statistics.mean(course.plan_us)),
        "plan_us_max": round(max(course.plan_us)),
        "core_percent": _round(core_percent(course, options)),
        "cost_steps_per_1000": _round(cost * per_1000),
        "weighted_sum": _round(
            1000 * weights.skew_weight * (mean - 1)
            + weights.rebalance_cost_weight * cost * per_1000
        ),
    }


def core_percent(course: Course, options: WorkloadOptions) -> float:
    """Return the share of a core that counting and planning take."""
    busy_s = (sum(course.plan_us) + course.observe_us) / 1e6
    return 100 * busy_s / (options.n_steps * COSTS.step_ms / 1000)


def _round(value: float) -> float:
    return round(value, 4)


def main() -> None:
    """Run the benchmark named on the command line."""
    arguments = docopt(__doc__)
    n_ranks, n_experts = int(arguments["--ranks"]), int(arguments["--experts"])
    options = WorkloadOptions(
        n_ranks,
        n_experts,
        int(arguments["--layers"]),
        float(arguments["--drift"]),
        int(arguments["--steps"]),
        int(arguments["--seed"]),
    )
    weights = PlannerWeights(
        float(arguments["--skew-weight"]), float(arguments["--cost-weight"])
    )
    n_slots = -(-n_experts // n_ranks) + int(arguments["--redundant-slots"])
    baselines: list[Policy] = [
        Never(),
        PeriodicGreedy(int(arguments["--greedy-period"])),
        ThresholdGreedy(float(arguments["--greedy-threshold"])),
    ]
    document = run(
        options,
        n_slots,
        weights,
        baselines,
        int(arguments["--counts-epochs"]),
        arguments["--exact-counts"],
    )
    if arguments["--json"]:
        print(json.dumps(document, indent=2))
        return
    for name, figures in document["policies"].items():
        print(name, *(f"{key}={value}" for key, value in figures.items()))
    print("best_possible", document["best_possible"])


if __name__ == "__main__":
    main()
