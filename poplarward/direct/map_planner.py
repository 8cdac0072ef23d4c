"""Plans a rank group's next expert map from the tokens that its experts had.

Load pattern: a few experts of each layer draw a fifth of its tokens each, and which
ones they are changes every few seconds, all at once. The rank that holds the hottest
expert alone sets the pace of the whole group. So counts of a demand that has gone are
forgotten at once, the hottest experts get replicas first, and a plan is small enough
to be copied before demand moves on.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..coordination.rebalancing.estimator import LoadEstimator
from ..coordination.rebalancing.placement import Layer, apply_moves, rank_work
from ..coordination.rebalancing.planner import CostModel, Planner, PlannerWeights
from .model import EngineProfile

__all__ = ["GroupPlanner", "MapPlan"]

HALF_LIFE_PASSES = 60.0  # Some seconds, for the noise of a few ranks' requests.
SHIFT_THRESHOLD = (
    0.25  # Looks at steady demand differ by 0.08 to 0.15, at other by 0.35.
)
HORIZON_PASSES = 60.0  # Some seconds, after which demand may have moved on.
MB = 1_000_000
COPY_SLOWDOWN_SHARE = 0.15  # The platform's figure for passes while experts are copied.
WEIGHTS = PlannerWeights(skew_weight=1.0, rebalance_cost_weight=0.5)
MIN_SKEW_GAIN = 0.07  # Less shortens a pass by a ms or two, and orders have a price.
MIN_TOKENS = 1_000.0  # Fewer tokens than a prompt's say nothing of popularity.


class MapPlan(NamedTuple):
    """A map that is better than the one in use.

    Attributes
    ----------
    layers : list of Layer
    copy_s : float
        Time in which the busiest rank copies its new experts.
    n_copies : int
    skew_before, skew_after : float
        Busiest rank's work over the mean, averaged over the layers, as estimated.
    """

    layers: list[Layer]
    copy_s: float
    n_copies: int
    skew_before: float
    skew_after: float


class GroupPlanner:
    """Follows the popularity of one group's experts and plans its maps.

    Parameters
    ----------
    profile : EngineProfile

    Attributes
    ----------
    n_shifts : int
        Layers whose demand was seen to change at once.
    """

    def __init__(self, profile: EngineProfile):
        self._profile = profile
        # One more expert, without tokens, stands for places that are empty.
        self._empty = profile.n_experts
        self._estimator = LoadEstimator(
            profile.n_layers, profile.n_experts + 1, HALF_LIFE_PASSES, HORIZON_PASSES
        )
        self._has_counts = False
        self.n_shifts = 0

    def _is_other(self, layer: int, tokens: Sequence[float]) -> bool:
        """Whether tokens are shared out unlike what is held to be in demand."""
        held = self._estimator.loads(layer)[:-1]
        total_held, total = sum(held) or 1.0, sum(tokens) or 1.0
        pairs = zip(held, tokens, strict=True)
        moved = sum([abs(a / total_held - b / total) for a, b in pairs]) / 2
        return moved > SHIFT_THRESHOLD

    def observe(self, tokens: Sequence[float], n_passes: int, at_step: int) -> None:
        """Take in the tokens that all experts had in some passes, layer by layer."""
        n_experts = self._profile.n_experts
        if sum(tokens) < MIN_TOKENS or n_passes < 1:
            return
        for layer in range(self._profile.n_layers):
            part = tokens[layer * n_experts : (layer + 1) * n_experts]
            per_pass = [count / n_passes for count in part]
            if self._has_counts and self._is_other(layer, per_pass):
                self._estimator.forget(layer)
                self.n_shifts += 1
            self._estimator.observe(layer, [*per_pass, 0.0], at_step)
        self._estimator.update_drift(at_step)
        self._has_counts = True

    def skew(self, layers: Sequence[Layer]) -> float:
        """Return the busiest rank's work over the mean, averaged over the layers."""
        return self._skew([self._pad(layer) for layer in layers])

    def plan(
        self, layers: Sequence[Layer], slowness: Sequence[float], pass_s: float
    ) -> MapPlan | None:
        """Return a better map, or None if none pays."""
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
        if skew_before - skew_after < MIN_SKEW_GAIN:
            return None
        n_new = _most_new(padded, after)
        return MapPlan(
            [self._strip(layer) for layer in after],
            n_new * profile.expert_mb * 8 / max(profile.link_mbps, 1.0),
            sum(move.expert != self._empty for move in plan.moves),
            skew_before,
            skew_after,
        )

    def _pad(self, layer: Layer) -> Layer:
        n_places = self._profile.n_expert_slots
        return tuple(row + (self._empty,) * (n_places - len(row)) for row in layer)

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


def _most_new(before: Sequence[Layer], after: Sequence[Layer]) -> int:
    """Return the most experts that one rank has to copy, over all layers."""
    n_ranks = len(before[0])
    return max(
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in range(n_ranks)
    )
