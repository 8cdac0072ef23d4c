"""Plans a rank group's next expert map from token counts by expert.

Load pattern: a few hot experts of each layer receive a fifth of its tokens each, and
the set of hot experts changes abruptly every few seconds. The rank that holds the only
copy of the hottest expert determines the pass time of the whole group. So counts from
before a shift are dropped at once, the hottest experts get replicas first, and a plan
is small enough to be copied before demand shifts again.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..coordination.rebalancing.estimator import LoadEstimator
from ..coordination.rebalancing.placement import Layer, apply_moves, rank_work
from ..coordination.rebalancing.planner import CostModel, Planner, PlannerWeights
from .model import EngineProfile

__all__ = ["GroupPlanner", "MapPlan"]

HALF_LIFE_PASSES = 60.0  # Some seconds, to average the noise of a few ranks' requests.
# Samples differ by 0.08 to 0.15 under steady demand, and by 0.35 across a shift.
SHIFT_THRESHOLD = 0.25
HORIZON_PASSES = 60.0  # Some seconds, after which demand may have shifted.
MB = 1_000_000
COPY_SLOWDOWN_SHARE = 0.15  # By the platform, for passes while experts are copied.
WEIGHTS = PlannerWeights(skew_weight=1.0, rebalance_cost_weight=0.5)
MIN_TOKENS = 1_000.0  # Fewer than a prompt has; too few to show popularity.


class MapPlan(NamedTuple):
    """An expert map that is better than the one in use.

    Attributes
    ----------
    layers : list of Layer
    copy_s : float
        Time in which the busiest rank copies its new experts.
    n_copies : int
        Experts to copy, over all ranks and layers.
    skew_before, skew_after : float
        Busiest rank's work over the mean, averaged over the layers, as estimated.
    """

    layers: list[Layer]
    copy_s: float
    n_copies: int
    skew_before: float
    skew_after: float


class GroupPlanner:
    """Estimates the load of one group's experts and plans its maps.

    Parameters
    ----------
    profile : EngineProfile

    Attributes
    ----------
    n_shifts : int
        Abrupt shifts of demand detected so far, counted by layer.
    """

    def __init__(self, profile: EngineProfile):
        self._profile = profile
        # A pseudo-expert without tokens fills empty slots.
        self._empty = profile.n_experts
        self._estimator = LoadEstimator(
            profile.n_layers, profile.n_experts + 1, HALF_LIFE_PASSES, HORIZON_PASSES
        )
        self._has_counts = False
        self.n_shifts = 0

    def _has_shifted(self, layer: int, tokens: Sequence[float]) -> bool:
        """Whether the distribution of tokens differs from the estimated one."""
        estimated = self._estimator.loads(layer)[:-1]
        total_estimated, total = sum(estimated) or 1.0, sum(tokens) or 1.0
        pairs = zip(estimated, tokens, strict=True)
        distance = sum([abs(a / total_estimated - b / total) for a, b in pairs]) / 2
        return distance > SHIFT_THRESHOLD

    def observe(self, tokens: Sequence[float], n_passes: int, at_step: int) -> None:
        """Update the estimates with the tokens of all experts in some passes.

        `tokens` lists them layer by layer.
        """
        n_experts = self._profile.n_experts
        if sum(tokens) < MIN_TOKENS or n_passes < 1:
            return
        for layer in range(self._profile.n_layers):
            part = tokens[layer * n_experts : (layer + 1) * n_experts]
            per_pass = [count / n_passes for count in part]
            if self._has_counts and self._has_shifted(layer, per_pass):
                self._estimator.forget(layer)
                self.n_shifts += 1
            self._estimator.observe(layer, [*per_pass, 0.0], at_step)
        self._estimator.update_drift(at_step)
        self._has_counts = True

    def skew(self, layers: Sequence[Layer]) -> float:
        """Return the busiest rank's work over the mean, averaged over the layers."""
        return self._skew([self._pad(layer) for layer in layers])

    def plan(
        self,
        layers: Sequence[Layer],
        slowness: Sequence[float],
        pass_s: float,
        min_skew_gain: float,
    ) -> MapPlan | None:
        """Return a better map, or None if no change is worth its cost."""
        if not self._has_counts:
            return None
        profile = self._profile
        padded = [self._pad(layer) for layer in layers]
        costs = CostModel(
            expert_bytes=int(profile.expert_mb * MB),
            link_bytes_per_s=profile.link_mbps * MB / 8,
            store_bytes_per_s=profile.link_mbps * MB / 8,
            step_ms=pass_s * 1000,
            slowed_share=COPY_SLOWDOWN_SHARE,
        )
        planner = Planner(WEIGHTS, costs, max_new_per_rank=profile.n_spare_slots)
        plan = planner.plan(padded, self._estimator, slowness)
        if plan is None:
            return None
        after = apply_moves(padded, plan.moves)
        skew_before, skew_after = self._skew(padded), self._skew(after)
        if skew_before - skew_after < min_skew_gain:
            return None
        max_copies = _max_copies(padded, after)
        return MapPlan(
            [self._strip(layer) for layer in after],
            max_copies * profile.expert_mb * 8 / max(profile.link_mbps, 1.0),
            sum(move.expert != self._empty for move in plan.moves),
            skew_before,
            skew_after,
        )

    def _pad(self, layer: Layer) -> Layer:
        n_expert_slots = self._profile.n_expert_slots
        return tuple(
            row + (self._empty,) * (n_expert_slots - len(row)) for row in layer
        )

    def _strip(self, layer: Layer) -> Layer:
        return tuple(
            tuple(expert for expert in row if expert != self._empty) for row in layer
        )

    def _skew(self, layers: Sequence[Layer]) -> float:
        total = 0.0
        for index, layer in enumerate(layers):
            work = rank_work(layer, self._estimator.loads(index))
            total += max(work) * len(work) / (sum(work) or 1.0)
        return total / len(layers)


def _max_copies(before: Sequence[Layer], after: Sequence[Layer]) -> int:
    """Return the number of experts that the busiest rank copies, over all layers."""
    n_ranks = len(before[0])
    return max(
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in range(n_ranks)
    )
