"""Admission by effective bandwidths, conditional on the current size of each stream.

The bound is that of effective bandwidths (Kesidis, Walrand and Chang, "Effective
bandwidths for multiclass Markov fluids and other ATM sources", IEEE/ACM Transactions
on Networking, 1993): the logarithms of the streams' moment-generating functions add
up, and the sum bounds the probability of an overflow. Each stream contributes its
current size and the probability, from the history of its workspace, that it still runs
some tokens later. The measured sum with headroom performed better, so only the
benchmark uses this policy.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import accumulate

__all__ = ["KvAdmission", "KvStream", "LengthHistory", "overflow_exponent"]

N_BUCKETS = 24
FIRST_EDGE_TOKENS = 16.0
EDGE_FACTOR = 2**0.5
EDGES_TOKENS = [0.0] + [FIRST_EDGE_TOKENS * EDGE_FACTOR**n for n in range(N_BUCKETS)]
HISTORY_DECAY = 0.995
POOLED_WEIGHT = 10.0
UNKNOWN_WEIGHT = 0.5
MAX_WORKSPACES = 256
HORIZONS_TOKENS = (0, 32, 96, 192, 384, 768, 1536)
MAX_EXPONENT = 200.0


@dataclass
class KvStream:
    """A stream admitted to the engine.

    Attributes
    ----------
    n_prompt_tokens : int
    max_tokens : int
        Maximum number of output tokens.
    n_made_tokens : int
        Output tokens generated so far.
    """

    workspace: str
    n_prompt_tokens: int
    max_tokens: int
    n_made_tokens: int = 0


class LengthHistory:
    """Histogram of the lengths of completed streams, with exponential decay."""

    def __init__(self) -> None:
        self._counts = [0.0] * N_BUCKETS
        self._newest_weight = 1.0

    def record(self, n_tokens: int) -> None:
        """Record the length of a completed stream."""
        self._newest_weight /= HISTORY_DECAY
        bucket = 0
        while bucket < N_BUCKETS - 1 and n_tokens > EDGES_TOKENS[bucket + 1]:
            bucket += 1
        self._counts[bucket] += self._newest_weight
        if self._newest_weight > 1e100:
            self._counts = [count / self._newest_weight for count in self._counts]
            self._newest_weight = 1.0

    def weights(self) -> list[float]:
        """Return the decayed count of each bucket; the latest stream has weight 1."""
        return [count / self._newest_weight for count in self._counts]


class _SurvivalFunction:
    """Fraction of streams that are longer than a number of tokens."""

    def __init__(self, weights: Sequence[float], n_unknown: float):
        total = sum(weights) + n_unknown
        longer = list(accumulate(reversed(weights), initial=n_unknown))
        self._longer = [count / total for count in reversed(longer)]

    def longer_than(self, n_tokens: float) -> float:
        if n_tokens < FIRST_EDGE_TOKENS:
            position = n_tokens / FIRST_EDGE_TOKENS
        else:
            position = 1 + math.log(n_tokens / FIRST_EDGE_TOKENS, EDGE_FACTOR)
        bucket = int(position)
        if bucket >= N_BUCKETS:
            return self._longer[-1]
        low, high = self._longer[bucket], self._longer[bucket + 1]
        return low + (position - bucket) * (high - low)


def overflow_exponent(
    sizes: Sequence[float], probabilities: Sequence[float], limit: float
) -> float:
    """Return the logarithm of a bound on the probability that a sum exceeds a limit.

    Parameters
    ----------
    sizes : sequence of float
        Size of each term if it is present.
    probabilities : sequence of float
        Probability that each term is present, independent of the others.
    limit : float

    Examples
    --------
    >>> overflow_exponent([4.0, 4.0], [1.0, 1.0], 7.0)
    0.0
    >>> overflow_exponent([4.0, 3.0], [0.5, 0.5], 7.0)
    -inf
    """
    if sum(sizes) <= limit:
        return -math.inf
    mean = sum(map(float.__mul__, sizes, probabilities))
    if mean >= limit:
        return 0.0
    variance = sum(
        s * s * p * (1 - p) for s, p in zip(sizes, probabilities, strict=True)
    )
    if variance <= 0.0:
        return -math.inf
    # Every theta gives a bound; the first is optimal for a normally distributed sum.
    theta = min((limit - mean) / variance, MAX_EXPONENT / max(sizes))
    return min(
        _log_moments(sizes, probabilities, scaled) - scaled * limit
        for scaled in (theta, theta / 2, theta / 4)
    )


def _log_moments(
    sizes: Sequence[float], probabilities: Sequence[float], theta: float
) -> float:
    return sum(
        math.log1p(p * math.expm1(theta * s))
        for s, p in zip(sizes, probabilities, strict=True)
    )


class KvAdmission:
    """Decides which streams to admit to the KV memory of an engine.

    Parameters
    ----------
    limit_tokens : int
        KV memory of the engine, in tokens.
    overflow_target : float
        Highest chance of an overflow that is accepted at any moment ahead.
    """

    def __init__(self, limit_tokens: int, overflow_target: float):
        self._limit_tokens = limit_tokens
        self._log_target = math.log(overflow_target)
        self._streams: dict[int, KvStream] = {}
        self._pooled_history = LengthHistory()
        self._histories: OrderedDict[str, LengthHistory] = OrderedDict()
        self._survivals: dict[str, _SurvivalFunction] = {}

    def may_start(self, stream: KvStream) -> bool:
        """Return whether a stream may start; one that would run alone always may."""
        if not self._streams:
            return True
        return self._log_overflow([*self._streams.values(), stream]) <= self._log_target

    def begin(self, stream: KvStream) -> None:
        """Record an admitted stream."""
        self._streams[id(stream)] = stream

    def end(self, stream: KvStream, is_complete: bool) -> None:
        """Record the end of a stream, and its length only if it was complete."""
        del self._streams[id(stream)]
        if is_complete:
            self._record_length(stream.workspace, stream.n_made_tokens)

    def _record_length(self, workspace: str, n_tokens: int) -> None:
        history = self._histories.pop(workspace, None) or LengthHistory()
        self._histories[workspace] = history
        if len(self._histories) > MAX_WORKSPACES:
            self._histories.popitem(last=False)
        history.record(n_tokens)
        self._pooled_history.record(n_tokens)
        self._survivals.clear()

    def _log_overflow(self, streams: Iterable[KvStream]) -> float:
        """Return the largest overflow exponent over all horizons."""
        candidates = [
            (stream, self._survival(stream.workspace).longer_than) for stream in streams
        ]
        alive_now = [max(1e-9, longer(s.n_made_tokens)) for s, longer in candidates]
        worst = -math.inf
        for horizon in HORIZONS_TOKENS:
            sizes = []
            probabilities = []
            for (stream, longer), alive in zip(candidates, alive_now, strict=True):
                n_made = stream.n_made_tokens + horizon
                if n_made > stream.max_tokens:
                    continue
                sizes.append(float(stream.n_prompt_tokens + n_made))
                probabilities.append(min(1.0, longer(n_made) / alive))
            if sizes:
                exponent = overflow_exponent(sizes, probabilities, self._limit_tokens)
                worst = max(worst, exponent)
        return worst

    def _survival(self, workspace: str) -> _SurvivalFunction:
        survival = self._survivals.get(workspace)
        if survival is None:
            weights = self._pooled_history.weights()
            scale = POOLED_WEIGHT / max(POOLED_WEIGHT, sum(weights))
            weights = [scale * weight for weight in weights]
            history = self._histories.get(workspace)
            if history is not None:
                own = history.weights()
                weights = [a + b for a, b in zip(weights, own, strict=True)]
            survival = _SurvivalFunction(weights, UNKNOWN_WEIGHT)
            self._survivals[workspace] = survival
        return survival
