"""Shares of a limit: allocation by demand, decay without new grants, and use."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["DecayingShare", "TokenBucket", "allocate_shares"]

EVEN_FRACTION = 0.05
DECAY_DELAY_MS = 3_000.0
HALF_LIFE_MS = 5_000.0
BURST_S = 1.0


def allocate_shares(demands: Mapping[str, float], total: float) -> dict[str, float]:
    """Allocate a total in proportion to demand, and a small fraction of it evenly.

    Examples
    --------
    >>> shares = allocate_shares({"entry-1": 3.0, "entry-2": 1.0}, 1.0)
    >>> [round(share, 4) for share in shares.values()]
    [0.7375, 0.2625]
    """
    even_share = EVEN_FRACTION * total / len(demands)
    total_demand = sum(demands.values())
    if total_demand <= 0:
        return dict.fromkeys(demands, total / len(demands))
    remainder = (1 - EVEN_FRACTION) * total
    return {
        name: even_share + remainder * demand / total_demand
        for name, demand in demands.items()
    }


class DecayingShare:
    """The last granted share, which decays unless it is renewed."""

    def __init__(self) -> None:
        self._share = 0.0
        self._granted_at_ms: float | None = None

    @property
    def is_granted(self) -> bool:
        """Whether a share was ever granted."""
        return self._granted_at_ms is not None

    def grant(self, share: float, now_ms: float) -> None:
        """Replace the share by a new grant."""
        self._share = share
        self._granted_at_ms = now_ms

    def value(self, now_ms: float, floor: float) -> float:
        """Return the share, which decays towards a floor that needs no grant."""
        if self._granted_at_ms is None:
            return floor
        age_ms = now_ms - self._granted_at_ms - DECAY_DELAY_MS
        decay = 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS)
        return floor + (self._share - floor) * decay


class TokenBucket:
    """A token bucket whose rate may change at any time."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._capacity = 1.0
        self._filled_at_ms = 0.0

    @property
    def level(self) -> float:
        """Tokens at the last refill, less those consumed since; negative if owed."""
        assert self._level is not None
        return self._level

    @property
    def is_full(self) -> bool:
        """Whether further tokens would be lost."""
        return self.level >= self._capacity

    def refill(self, rate_per_s: float, now_ms: float) -> None:
        """Add the tokens for the time since the last refill."""
        self._capacity = max(1.0, rate_per_s * BURST_S)
        if self._level is None:
            self._level = self._capacity
        elapsed_s = (now_ms - self._filled_at_ms) / 1000
        self._level = min(self._capacity, self._level + rate_per_s * elapsed_s)
        self._filled_at_ms = now_ms

    def wait_ms(self, rate_per_s: float) -> float:
        """Return the time until tokens may be consumed; 0 if they may be now."""
        assert self._level is not None
        # A request may consume more tokens than are left if any are left. The debt is
        # refilled first. Thus a large request can pass with a small share.
        if self._level > 0:
            return 0.0
        return 1000 * (1e-3 - self._level) / max(rate_per_s, 1e-6)

    def consume(self, amount: float) -> None:
        """Consume tokens; a debt delays later requests."""
        assert self._level is not None
        self._level -= amount
