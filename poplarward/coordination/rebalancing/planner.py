"""Weighs the reduction of skew by moves against their cost."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from typing import NamedTuple

from .estimator import LoadEstimator
from .placement import Layer, Move, rank_work
from .search import LayerSearch
from .transfers import TransferSummary, plan_transfers

__all__ = ["CostModel", "Plan", "Planner", "PlannerWeights"]

MAX_STEPS_PER_LAYER = 24
MAX_STEPS_WITHOUT_GAIN = 4
MAX_LAYERS_PER_PLAN = 14
N_PLAN_SIZES = 4
MIN_GAIN_COST_RATIO = 10.0
RETRY_EXCESS_GROWTH = 1.02


class PlannerWeights(NamedTuple):
    """A deployment's weights of skew and of the cost of rebalancing."""

    skew_weight: float
    rebalance_cost_weight: float


class CostModel(NamedTuple):
    """Cost of moving expert weights in a group.

    Attributes
    ----------
    expert_bytes : int
        Size of the weights of one expert in one layer.
    link_bytes_per_s, store_bytes_per_s : float
        Rate at which a rank receives weights from a peer, and at which the weight
        store serves them.
    step_ms : float
        Time of a step without skew.
    slowed_share : float
        Fraction by which a step takes longer while weights are received.
    """

    expert_bytes: int
    link_bytes_per_s: float
    store_bytes_per_s: float
    step_ms: float
    slowed_share: float

    def transfer_steps(self, summary: TransferSummary) -> int:
        """Return the number of steps during which a plan's weights are transferred."""
        seconds = max(
            summary.busiest_link_bytes / self.link_bytes_per_s,
            summary.store_bytes / self.store_bytes_per_s,
        )
        return math.ceil(1000 * seconds / self.step_ms)

    def link_time_steps(self, n_experts: int, n_ranks: int) -> float:
        """Return the time that moved weights take on all links together, in steps."""
        bytes_per_step = self.link_bytes_per_s * self.step_ms / 1000 * n_ranks
        return n_experts * self.expert_bytes / bytes_per_step

    def cost_steps(self, n_experts: int, n_ranks: int, n_slowed_steps: int) -> float:
        """Return the total cost of a plan, in steps."""
        link_time = self.link_time_steps(n_experts, n_ranks)
        return link_time + self.slowed_share * n_slowed_steps


class Plan(NamedTuple):
    """Worthwhile moves, with their expected gain and cost.

    Attributes
    ----------
    skew_saved : float
        Decrease of a step's time, in steps without skew.
    cost_steps : float
        Cost of the moves, in steps without skew.
    """

    moves: tuple[Move, ...]
    transfers: TransferSummary
    skew_saved: float
    cost_steps: float


class _LayerMoves(NamedTuple):
    """Moves within one layer, and their gain."""

    moves: tuple[Move, ...]
    gain: float


class Planner:
    """Plans the moves of one group.

    The layers with the greatest excess work are searched first. Of each layer's
    sequence of moves, the planner keeps the part with the best net gain. Of all layers'
    parts, it keeps those that are worthwhile together, since transfers to different
    ranks run at the same time.

    Parameters
    ----------
    weights : PlannerWeights
        The deployment's weights of skew and of the cost of rebalancing.
    costs : CostModel
        Cost of moving expert weights in this group.
    max_new_per_rank : int, optional
        Maximum number of experts of one layer that a plan may add to one rank; None
        means no limit.
    """

    def __init__(
        self,
        weights: PlannerWeights,
        costs: CostModel,
        max_new_per_rank: int | None = None,
    ):
        self._max_new_per_rank = max_new_per_rank
        self._weights = weights
        self._costs = costs
        self._excess_without_plan: dict[int, float] = {}

    def plan(
        self,
        layers: Sequence[Layer],
        estimator: LoadEstimator,
        slowness: Sequence[float],
        unreachable_ranks: Collection[int] = (),
    ) -> Plan | None:
        """Return the moves that are worthwhile now, or None if there are none.

        `slowness` is the ratio of each rank's time per token to that of a normal rank.
        """
        loads = [estimator.loads(index) for index in range(len(layers))]
        n_ranks = len(layers[0])
        step_work = sum(map(sum, loads)) / n_ranks
        if step_work <= 0:
            return None
        value = self._weights.skew_weight * estimator.horizon_steps()
        price = self._price_of_move(n_ranks)
        excess = [
            _excess(rank_work(layer, layer_loads), slowness)
            for layer, layer_loads in zip(layers, loads, strict=True)
        ]
        due = [
            index
            for index, lost in enumerate(excess)
            if lost / step_work * value > price
            and lost > self._excess_without_plan.get(index, 0.0) * RETRY_EXCESS_GROWTH
        ]
        due.sort(key=lambda index: -excess[index])
        parts = []
        n_received = [0] * n_ranks
        for index in due[:MAX_LAYERS_PER_PLAN]:
            search = LayerSearch(
                index,
                layers[index],
                loads[index],
                slowness,
                self._max_new_per_rank,
                n_received,
            )
            part = _best_layer_moves(search, step_work, value, price)
            if part is None:
                self._excess_without_plan[index] = excess[index]
            else:
                self._excess_without_plan.pop(index, None)
                parts.append(part)
                for move in part.moves:
                    n_received[move.rank] += 1
        return self._choose(layers, parts, value, unreachable_ranks)

    def _price_of_move(self, n_ranks: int) -> float:
        link_time = self._costs.link_time_steps(1, n_ranks)
        return self._weights.rebalance_cost_weight * link_time * MIN_GAIN_COST_RATIO

    def _choose(
        self,
        layers: Sequence[Layer],
        parts: list[_LayerMoves],
        value: float,
        unreachable_ranks: Collection[int],
    ) -> Plan | None:
        """Return the plan of the parts that are worthwhile together, best first."""
        parts.sort(key=lambda part: -part.gain / len(part.moves))
        stride = -(-len(parts) // N_PLAN_SIZES) or 1
        best, best_net = None, 0.0
        for n_parts in range(stride, len(parts) + stride, stride):
            plan = self._cost(layers, parts[:n_parts], unreachable_ranks)
            price = self._weights.rebalance_cost_weight * plan.cost_steps
            net = plan.skew_saved * value - price * MIN_GAIN_COST_RATIO
            if net > best_net:
                best, best_net = plan, net
        return best

    def _cost(
        self,
        layers: Sequence[Layer],
        parts: Sequence[_LayerMoves],
        unreachable_ranks: Collection[int],
    ) -> Plan:
        moves = tuple(move for part in parts for move in part.moves)
        summary = plan_transfers(
            layers, moves, self._costs.expert_bytes, unreachable_ranks
        )
        n_slowed = self._costs.transfer_steps(summary)
        cost = self._costs.cost_steps(len(moves), len(layers[0]), n_slowed)
        return Plan(moves, summary, sum(part.gain for part in parts), cost)


def _excess(work: Sequence[float], slowness: Sequence[float]) -> float:
    """Return the excess of the slowest rank's time over the mean work."""
    slowest = max([w * factor for w, factor in zip(work, slowness, strict=True)])
    return slowest - sum(work) / len(work)


def _best_layer_moves(
    search: LayerSearch, step_work: float, value: float, price: float
) -> _LayerMoves | None:
    """Return the part of a layer's moves with the best net gain, None without gain."""
    before = max(search.work)
    best, best_net = None, 0.0
    n_without_gain = 0
    for _ in range(MAX_STEPS_PER_LAYER):
        step = search.next_step()
        if step is None:
            break
        gain = (before - step.max_work) / step_work
        net = gain * value - price * len(step.moves)
        if net > best_net:
            best, best_net = _LayerMoves(step.moves, gain), net
            n_without_gain = 0
        else:
            n_without_gain += 1
        if n_without_gain == MAX_STEPS_WITHOUT_GAIN:
            break
    return best
