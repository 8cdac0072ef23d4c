"""Estimates the load of each expert from delayed, noisy and incomplete counts."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

__all__ = ["LoadEstimator", "SpeedEstimator"]

DRIFT_WINDOW_STEPS = 1000
DRIFT_SMOOTHING = 0.2
MIN_HORIZON_STEPS = 400.0
MAX_HORIZON_STEPS = 8000.0
SPEED_SMOOTHING = 0.1
MIN_SLOWNESS = 1.1


class LoadEstimator:
    """Exponentially weighted average of each expert's counts.

    A delayed count has the same weight as if it had arrived in time, and an expert
    without counts keeps its last estimate. The estimator also tracks how fast
    popularity drifts, which bounds how long a placement remains effective.

    Parameters
    ----------
    n_layers, n_experts : int
        Size of the group's model.
    half_life_steps : float
        Age at which the weight of a count has halved.
    min_horizon_steps : float
        Minimum number of steps for which a placement is assumed to remain effective.

    Examples
    --------
    >>> estimator = LoadEstimator(n_layers=1, n_experts=2, half_life_steps=100)
    >>> estimator.observe(0, [30.0, 10.0], at_step=0)
    >>> estimator.observe(0, [None, 20.0], at_step=100)
    >>> [round(load, 1) for load in estimator.loads(0)]
    [30.0, 16.7]
    """

    def __init__(
        self,
        n_layers: int,
        n_experts: int,
        half_life_steps: float = 300.0,
        min_horizon_steps: float = MIN_HORIZON_STEPS,
    ):
        self._min_horizon_steps = min_horizon_steps
        self.half_life_steps = half_life_steps
        self._sums = [[0.0] * n_experts for _ in range(n_layers)]
        self._weights = [[0.0] * n_experts for _ in range(n_layers)]
        self._latest_step = [0] * n_layers
        self._reference: list[list[float]] = [[] for _ in range(n_layers)]
        self._reference_step = 0
        self._drift_per_step: float | None = None
        self._structure = 0.0

    def observe(
        self, layer: int, tokens_per_step: Sequence[float | None], at_step: int
    ) -> None:
        """Update with the tokens of each expert in a step; None means unknown."""
        age = at_step - self._latest_step[layer]
        if age > 0:
            self._decay(layer, 0.5 ** (age / self.half_life_steps))
            self._latest_step[layer] = at_step
        weight = 1.0 if age >= 0 else 0.5 ** (-age / self.half_life_steps)
        sums, weights = self._sums[layer], self._weights[layer]
        for expert, tokens in enumerate(tokens_per_step):
            if tokens is not None:
                sums[expert] += weight * tokens
                weights[expert] += weight

    def forget(self, layer: int) -> None:
        """Discard the counts of a layer after a sudden shift of demand."""
        n_experts = len(self._sums[layer])
        self._sums[layer] = [0.0] * n_experts
        self._weights[layer] = [0.0] * n_experts

    def loads(self, layer: int) -> list[float]:
        """Return the estimated tokens of each expert in a step.

        Experts without any count get the mean of the others.
        """
        sums, weights = self._sums[layer], self._weights[layer]
        known = [s / w for s, w in zip(sums, weights, strict=True) if w > 0]
        mean = sum(known) / len(known) if known else 1.0
        return [s / w if w > 0 else mean for s, w in zip(sums, weights, strict=True)]

    def horizon_steps(self) -> float:
        """Return for how many steps a current placement should remain effective."""
        if not self._drift_per_step:
            return self._min_horizon_steps
        steps = self._structure / self._drift_per_step
        return min(max(steps, self._min_horizon_steps), MAX_HORIZON_STEPS)

    def update_drift(self, at_step: int) -> None:
        """Update the drift estimate once per `DRIFT_WINDOW_STEPS`, from the shares."""
        elapsed = at_step - self._reference_step
        if elapsed < DRIFT_WINDOW_STEPS and self._reference[0]:
            return
        shares = [_shares(self.loads(index)) for index in range(len(self._sums))]
        if self._reference[0]:
            pairs = zip(shares, self._reference, strict=True)
            moved = sum([_distance(now, then) for now, then in pairs]) / len(shares)
            drift = moved / elapsed
            previous = self._drift_per_step
            self._drift_per_step = (
                drift
                if previous is None
                else previous + DRIFT_SMOOTHING * (drift - previous)
            )
        uniform = [1 / len(shares[0])] * len(shares[0])
        self._structure = sum([_distance(s, uniform) for s in shares]) / len(shares)
        self._reference, self._reference_step = shares, at_step

    def _decay(self, layer: int, factor: float) -> None:
        self._sums[layer] = [factor * value for value in self._sums[layer]]
        self._weights[layer] = [factor * value for value in self._weights[layer]]


class SpeedEstimator:
    """Estimates which ranks take longer per token than the others.

    The estimate is independent of popularity: it compares times per token. Differences
    below `MIN_SLOWNESS` are regarded as noise.

    Examples
    --------
    >>> estimator = SpeedEstimator(n_ranks=3)
    >>> for _ in range(50):
    ...     for rank, busy_ms in enumerate([10.0, 10.0, 12.5]):
    ...         estimator.observe(rank, tokens=100, busy_ms=busy_ms)
    >>> [round(value, 2) for value in estimator.slowness()]
    [1.0, 1.0, 1.25]
    """

    def __init__(self, n_ranks: int):
        self._ms_per_token: list[float | None] = [None] * n_ranks

    def observe(self, rank: int, tokens: float, busy_ms: float) -> None:
        """Update with the time that a rank was busy with some tokens."""
        if tokens <= 0:
            return
        previous = self._ms_per_token[rank]
        now = busy_ms / tokens
        self._ms_per_token[rank] = (
            now if previous is None else previous + SPEED_SMOOTHING * (now - previous)
        )

    def slowness(self) -> list[float]:
        """Return the ratio of each rank's time per token to the median.

        Ratios below the noise threshold are returned as 1.
        """
        known = [value for value in self._ms_per_token if value is not None]
        if not known:
            return [1.0] * len(self._ms_per_token)
        median = statistics.median(known)
        ratios = [(value or median) / median for value in self._ms_per_token]
        return [ratio if ratio >= MIN_SLOWNESS else 1.0 for ratio in ratios]


def _shares(loads: Sequence[float]) -> list[float]:
    total = sum(loads) or 1.0
    return [load / total for load in loads]


def _distance(first: Sequence[float], second: Sequence[float]) -> float:
    return sum([abs(a - b) for a, b in zip(first, second, strict=True)]) / 2
