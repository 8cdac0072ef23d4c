"""Decides which experts of a model group move to which ranks, and when.

`LoadEstimator` follows the popularity of the experts from late and gappy counts,
`Planner` weighs the skew that a few moves would save against what they cost, and
`transfers` names the ranks that the weights come from.
"""

from .estimator import LoadEstimator, SpeedEstimator
from .placement import (
    Layer,
    Move,
    apply_moves,
    initial_layers,
    least_possible_work,
    rank_work,
)
from .planner import CostModel, Plan, Planner, PlannerWeights
from .search import LayerSearch, MoveStep
from .transfers import Transfer, TransferSummary, plan_transfers

__all__ = [
    "CostModel",
    "Layer",
    "LayerSearch",
    "LoadEstimator",
    "Move",
    "MoveStep",
    "Plan",
    "Planner",
    "PlannerWeights",
    "SpeedEstimator",
    "Transfer",
    "TransferSummary",
    "apply_moves",
    "initial_layers",
    "least_possible_work",
    "plan_transfers",
    "rank_work",
]
