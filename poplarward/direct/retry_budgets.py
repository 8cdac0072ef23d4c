"""Bounds the repeats of all entry hosts together without asking anybody.

A service allows a share of its requests, plus a fixed number, as repeats in any window.
Each host adds a share of a repeat with each request of its own, which needs no
agreement, and takes an even part of the fixed number, refilled over the window. A host
that starts again gets its part again, so only a half of the fixed number is dealt out.
"""

from __future__ import annotations

from collections.abc import Callable

from .clock import now_ms

__all__ = ["HostRetryBudget", "RetryBudgets", "ServiceRetryBudget"]

ALLOTTED_FRACTION = (
    0.5  # Room for hosts that are killed and start again within a window.
)
REQUEST_FRACTION = 0.7  # Requests of the former window may have been fewer.
MAX_SAVED_RATIO = 2.0  # Repeats saved in calm times come on top of a window's own.


class HostRetryBudget:
    """One host's repeats towards one service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    fixed : float
        Repeats allowed beside, in a window, for all hosts together.
    window_s : float
        Length of the window.

    Examples
    --------
    >>> share = HostRetryBudget(ratio=0.2, fixed=4, window_s=10)
    >>> [share.take(now_s=0.0, n_hosts=1) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, fixed: float, window_s: float):
        self._ratio = ratio * REQUEST_FRACTION
        self._fixed = fixed * ALLOTTED_FRACTION
        self._window_s = window_s
        self._n_left: float | None = None
        self._counted_at_s = 0.0

    def record_request(self) -> None:
        """Count a request's first attempt."""
        if self._n_left is not None:
            self._n_left += self._ratio

    def take(self, now_s: float, n_hosts: int) -> bool:
        """Take one repeat; returns whether there was one left."""
        part = self._fixed / max(n_hosts, 1)
        limit = max(part, 1.0)
        if self._n_left is None:
            self._n_left = limit
        elapsed_s = now_s - self._counted_at_s
        gained = part * elapsed_s / self._window_s
        self._counted_at_s = now_s
        self._n_left = min(self._n_left + gained, MAX_SAVED_RATIO * limit)
        if self._n_left < 1:
            return False
        self._n_left -= 1
        return True


class RetryBudgets:
    """The retries that this host may make towards each service.

    Parameters
    ----------
    ratio, fixed, window_s : float
        See `HostRetryBudget`.
    count_hosts : callable
        Returns the number of entry hosts that serve.
    """

    def __init__(
        self,
        ratio: float,
        fixed: float,
        window_s: float,
        count_hosts: Callable[[], int],
    ):
        self._arguments = ratio, fixed, window_s
        self._count_hosts = count_hosts
        self._shares: dict[str, ServiceRetryBudget] = {}

    def for_service(self, service: str) -> ServiceRetryBudget:
        """Return what is left towards a service."""
        held = self._shares.get(service)
        if held is None:
            share = HostRetryBudget(*self._arguments)
            held = self._shares[service] = ServiceRetryBudget(share, self._count_hosts)
        return held


class ServiceRetryBudget:
    """What is left towards one service."""

    def __init__(self, share: HostRetryBudget, count_hosts: Callable[[], int]):
        self._share = share
        self._count_hosts = count_hosts

    def record_request(self) -> None:
        """Count a request's first attempt."""
        self._share.record_request()

    def take(self) -> bool:
        """Take one repeat; returns whether there was one left."""
        return self._share.take(now_ms() / 1000, self._count_hosts())
