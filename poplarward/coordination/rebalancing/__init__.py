"""Plans which experts of a model group move to which ranks, and when.

`LoadEstimator` estimates the popularity of the experts from delayed and incomplete
counts, `Planner` weighs the reduction of skew by moves against their cost, and
`transfers` selects the ranks that provide the weights.
"""

import lazy_loader

# Lazy imports: programs load only the modules that they use.
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
