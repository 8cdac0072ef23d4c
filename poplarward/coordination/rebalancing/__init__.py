"""Decides which experts of a model group move to which ranks, and when.

`LoadEstimator` follows the popularity of the experts from late and gappy counts,
`Planner` weighs the skew that a few moves would save against what they cost, and
`transfers` names the ranks that the weights come from.
"""

import lazy_loader

# Programs start with the modules that they use, not with all of the package.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "estimator": ["LoadEstimator", "SpeedEstimator"],
        "placement": [
            "Layer",
            "Move",
            "apply_moves",
            "initial_layers",
            "work_lower_bound",
            "rank_work",
        ],
        "planner": ["CostModel", "Plan", "Planner", "PlannerWeights"],
        "search": ["LayerSearch", "MoveStep"],
        "transfers": ["Transfer", "TransferSummary", "plan_transfers"],
    },
)
