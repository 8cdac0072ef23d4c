"""Drifting popularity of experts, and the token counts that a group reports."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Counts", "Epoch", "ExpertWorkload", "WorkloadOptions"]

EPOCH_STEPS = 50
DAY_STEPS = 20_000
TOKENS_PER_STEP = 8192
BASE_SIGMA = 0.5
DAILY_AMPLITUDE = 0.4
SHIFTS_PER_STEP = 1 / 4000
SHIFTED_FRACTION = 0.15
SHIFT_SIGMA = 0.9
STEP_NOISE_SIGMA = 0.05
COUNT_NOISE_SIGMA = 0.1
BUSY_NOISE_SIGMA = 0.05
MS_PER_TOKEN = 0.01
RANK_REPORT_LOSS = 0.1
LAYER_LOSS = 0.03
LATE_FRACTION = 0.1
MAX_LATE_EPOCHS = 3
SLOW_RANK_SPEED = 0.8
SLOW_RANK_STEPS = 4000


class WorkloadOptions(NamedTuple):
    """Size of the group and drift of the expert popularity.

    Attributes
    ----------
    drift : float
        Standard deviation of the random walk of an expert's log-popularity over a
        thousand steps.
    """

    n_ranks: int
    n_experts: int
    n_layers: int
    drift: float
    n_steps: int
    seed: int


class Counts(NamedTuple):
    """Counts of one layer as the estimator receives them, and the missing ranks."""

    layer: int
    at_step: int
    noisy_loads: list[float]
    lost_ranks: frozenset[int]


class Epoch(NamedTuple):
    """Consecutive steps with the same load.

    Attributes
    ----------
    loads : list of list of float
        Tokens per step, by layer and expert.
    speeds : dict
        Relative speed of ranks that are slow for a reason other than their load.
    counts : list of Counts
        Counts that arrive at the end of the epoch.
    busy_ms_per_token : dict
        Processing time per token of each rank that reports.
    """

    step: int
    loads: list[list[float]]
    speeds: dict[int, float]
    counts: list[Counts]
    busy_ms_per_token: dict[int, float]


class ExpertWorkload:
    """Generates the epochs of a run from its seed.

    Log-popularity is the sum of a constant, a daily sine with a phase for each expert,
    and a random walk that reverts to zero and has sudden shifts for some experts.
    """

    def __init__(self, options: WorkloadOptions):
        self._options = options
        self._rng = random.Random(options.seed)
        layer_indices = range(options.n_layers)
        n_experts = options.n_experts
        self._base = [
            [self._rng.gauss(0, BASE_SIGMA) for _ in range(n_experts)]
            for _ in layer_indices
        ]
        self._phase = [
            [self._rng.random() for _ in range(n_experts)] for _ in layer_indices
        ]
        self._walk = [[0.0] * n_experts for _ in layer_indices]
        self._slow_from = self._rng.randrange(options.n_steps)
        self._slow_rank = self._rng.randrange(options.n_ranks)
        self._delayed: list[tuple[int, Counts]] = []

    def epochs(self) -> Iterator[Epoch]:
        """Yield the epochs in order."""
        for step in range(0, self._options.n_steps, EPOCH_STEPS):
            self._advance()
            loads = [self._layer_loads(index, step) for index in range(len(self._base))]
            speeds = {}
            if self._slow_from <= step < self._slow_from + SLOW_RANK_STEPS:
                speeds[self._slow_rank] = SLOW_RANK_SPEED
            lost = self._lost_ranks()
            counts = self._arriving_counts(step, loads, lost)
            yield Epoch(
                step, loads, speeds, counts, self._busy_ms_per_token(speeds, lost)
            )

    def _advance(self) -> None:
        gauss = self._rng.gauss
        sigma = self._options.drift * math.sqrt(EPOCH_STEPS / 1000)
        decay = math.exp(-EPOCH_STEPS / DAY_STEPS)
        for walk in self._walk:
            for expert, value in enumerate(walk):
                walk[expert] = decay * value + gauss(0, sigma)
        if self._rng.random() < SHIFTS_PER_STEP * EPOCH_STEPS:
            for walk in self._walk:
                for expert in range(len(walk)):
                    if self._rng.random() < SHIFTED_FRACTION:
                        walk[expert] += gauss(0, SHIFT_SIGMA)

    def _layer_loads(self, index: int, step: int) -> list[float]:
        rng = self._rng
        day = step / DAY_STEPS
        weights = [
            math.exp(
                base
                + walk
                + DAILY_AMPLITUDE * math.sin(2 * math.pi * (day + phase))
                + rng.gauss(0, STEP_NOISE_SIGMA)
            )
            for base, walk, phase in zip(
                self._base[index], self._walk[index], self._phase[index], strict=True
            )
        ]
        scale = TOKENS_PER_STEP / sum(weights)
        return [scale * weight for weight in weights]

    def _lost_ranks(self) -> frozenset[int]:
        ranks = range(self._options.n_ranks)
        return frozenset(r for r in ranks if self._rng.random() < RANK_REPORT_LOSS)

    def _busy_ms_per_token(
        self, speeds: dict[int, float], lost: frozenset[int]
    ) -> dict[int, float]:
        return {
            rank: MS_PER_TOKEN
            * self._rng.gauss(1, BUSY_NOISE_SIGMA)
            / speeds.get(rank, 1.0)
            for rank in range(self._options.n_ranks)
            if rank not in lost
        }

    def _arriving_counts(
        self, step: int, loads: list[list[float]], lost: frozenset[int]
    ) -> list[Counts]:
        rng = self._rng
        due = [counts for at, counts in self._delayed if at <= step]
        self._delayed = [item for item in self._delayed if item[0] > step]
        for index, layer in enumerate(loads):
            if rng.random() < LAYER_LOSS:
                continue
            noisy = [load * rng.gauss(1, COUNT_NOISE_SIGMA) for load in layer]
            counts = Counts(index, step, [max(x, 0.0) for x in noisy], lost)
            if rng.random() < LATE_FRACTION:
                delay = rng.randint(1, MAX_LATE_EPOCHS) * EPOCH_STEPS
                self._delayed.append((step + delay, counts))
            else:
                due.append(counts)
        return due
