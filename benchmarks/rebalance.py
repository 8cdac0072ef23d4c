"""Compare rebalancing policies for the experts of a group, on the same drifting load.

Usage:
  rebalance [options]
  rebalance (-h | --help)

Options:
  --ranks R              Ranks of the group [default: 16].
  --experts X            Experts of a layer [default: 64].
  --layers L             Layers of the model [default: 8].
  --redundant-slots K    Slots of a rank and layer beyond the minimum [default: 1].
  --drift D              Random walk of log-popularity per 1,000 steps [default: 0.15].
  --steps S              Steps to run [default: 20000].
  --skew-weight A        The deployment's weight of skew [default: 3].
  --cost-weight B        The deployment's weight of rebalancing cost [default: 1].
  --counts-epochs N      Epochs of 50 steps between applied counts [default: 1].
  --exact-counts         Apply exact counts, not counts as agents pack them.
  --greedy-period P      Steps between periodic greedy's plans [default: 500].
  --greedy-threshold T   Skew at which threshold greedy plans [default: 1.15].
  --seed N               Seed of the load [default: 1].
  --json                 Print one JSON document; the default is a table.
  -h --help              Show this text.

The weighted sum is, per 1,000 steps, A times the time lost to skew plus B times the
rebalancing cost, both in units of a step without skew. The cost is the link time used
to transfer expert weights plus the slowdown of the steps that run during a transfer.
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
    PackagePlanner,
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
class PolicyRun:
    """State and measurements of a run of one policy."""

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
        """Run the steps of an epoch, apply its counts, and plan."""
        if self.moving and epoch.step >= self.busy_until_step:
            self.layers = apply_moves(self.layers, self.moving)
            self.moving = ()
        self.skews.append(step_skew(self.layers, epoch))
        if (epoch.step // EPOCH_STEPS + 1) % self.counts_epochs:
            return
        load_counts = reported_loads if self.has_exact_counts else packed_loads
        reported_by_layer = [load_counts(self.layers[c.layer], c) for c in epoch.counts]
        start_s = time.process_time()
        for counts, loads in zip(epoch.counts, reported_by_layer, strict=True):
            self.observed.loads.observe(counts.layer, loads, counts.at_step)
        for rank, ms in epoch.busy_ms_per_token.items():
            self.observed.speeds.observe(rank, 1.0, ms)
        self.observe_us += (time.process_time() - start_s) * 1e6
        if not self.moving:
            self._plan(epoch.step + EPOCH_STEPS)

    def _plan(self, step: int) -> None:
        start_s = time.process_time()
        moves = self.policy.plan(self.layers, self.observed, step)
        self.plan_us.append((time.process_time() - start_s) * 1e6)
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
    """Return estimators without observations."""
    loads = LoadEstimator(options.n_layers, options.n_experts)
    return Observed(loads, SpeedEstimator(options.n_ranks))


def step_skew(layers: tuple[Layer, ...], epoch: Epoch) -> float:
    """Return the duration of a step relative to a step without skew."""
    longest = total = 0.0
    for layer, loads in zip(layers, epoch.loads, strict=True):
        work = rank_work(layer, loads)
        total += sum(work) / len(work)
        for rank, speed in epoch.speeds.items():
            work[rank] /= speed
        longest += max(work)
    return longest / total


def reported_loads(layer: Layer, counts: Counts) -> list[float | None]:
    """Return the counts of the experts on ranks that reported; None for the others."""
    reported: list[float | None] = [None] * len(counts.noisy_loads)
    for rank, row in enumerate(layer):
        if rank not in counts.lost_ranks:
            for expert in row:
                reported[expert] = counts.noisy_loads[expert]
    return reported


def packed_loads(layer: Layer, counts: Counts) -> list[float | None]:
    """Return the counts of the experts after packing and unpacking them per replica."""
    n_replicas = Counter(expert for row in layer for expert in row)
    reported = reported_loads(layer, counts)
    replica_counts = [
        0 if load is None else round(load / n_replicas[expert])
        for expert, load in enumerate(reported)
    ]
    [[received]] = unpack_counts(
        pack_counts([[replica_counts]]), 1, len(replica_counts)
    )
    return [
        None if load is None else float(replica_count * n_replicas[expert])
        for expert, (load, replica_count) in enumerate(
            zip(reported, received, strict=True)
        )
    ]


def run(
    options: WorkloadOptions,
    n_slots: int,
    weights: PlannerWeights,
    baselines: list[Policy],
    counts_epochs: int = 1,
    has_exact_counts: bool = False,
) -> dict[str, Any]:
    """Run every policy on the same load and return the results."""
    layers = initial_layers(
        options.n_ranks, options.n_experts, options.n_layers, n_slots
    )
    policies = [*baselines, PackagePlanner(weights, COSTS)]
    policy_runs = [
        PolicyRun(
            policy, layers, new_observed(options), counts_epochs, has_exact_counts
        )
        for policy in policies
    ]
    bounds = []
    for epoch in ExpertWorkload(options).epochs():
        for policy_run in policy_runs:
            policy_run.run_epoch(epoch)
        bounds.append(bound_skew(epoch, options.n_ranks, n_slots))
    best_possible = {"skew_mean": _round(statistics.mean(bounds))}
    best_possible["weighted_sum"] = _round(
        1000 * weights.skew_weight * (statistics.mean(bounds) - 1)
    )
    results = {
        policy_run.policy.name: summarize(policy_run, options, weights)
        for policy_run in policy_runs
    }
    return {
        "options": options._asdict(),
        "n_slots": n_slots,
        "weights": weights._asdict(),
        "policies": results,
        "best_possible": best_possible,
    }


def bound_skew(epoch: Epoch, n_ranks: int, n_slots: int) -> float:
    """Return a lower bound on the skew of any placement."""
    longest = sum(work_lower_bound(loads, n_ranks, n_slots) for loads in epoch.loads)
    return longest / (sum(map(sum, epoch.loads)) / n_ranks)


def summarize(
    policy_run: PolicyRun, options: WorkloadOptions, weights: PlannerWeights
) -> dict[str, float]:
    """Return the measurements of one policy."""
    skews = sorted(policy_run.skews)
    mean = statistics.mean(skews)
    cost = COSTS.cost_steps(policy_run.n_moved, options.n_ranks, policy_run.n_slowed)
    per_1000 = 1000 / options.n_steps
    return {
        "skew_mean": _round(mean),
        "skew_p95": _round(skews[int(0.95 * len(skews))]),
        "n_experts_moved": policy_run.n_moved,
        "bytes_moved": policy_run.n_moved * COSTS.expert_bytes,
        "store_bytes": policy_run.store_bytes,
        "n_steps_slowed": policy_run.n_slowed,
        "plan_us_mean": round(statistics.mean(policy_run.plan_us)),
        "plan_us_max": round(max(policy_run.plan_us)),
        "core_percent": _round(core_percent(policy_run, options)),
        "cost_steps_per_1000": _round(cost * per_1000),
        "weighted_sum": _round(
            1000 * weights.skew_weight * (mean - 1)
            + weights.rebalance_cost_weight * cost * per_1000
        ),
    }


def core_percent(policy_run: PolicyRun, options: WorkloadOptions) -> float:
    """Return the percentage of a core that estimation and planning use."""
    busy_s = (sum(policy_run.plan_us) + policy_run.observe_us) / 1e6
    return 100 * busy_s / (options.n_steps * COSTS.step_ms / 1000)


def _round(value: float) -> float:
    return round(value, 4)


def main() -> None:
    """Run the benchmark with the options of the command line."""
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
    for name, measurements in document["policies"].items():
        print(name, *(f"{key}={value}" for key, value in measurements.items()))
    print("best_possible", document["best_possible"])


if __name__ == "__main__":
    main()
