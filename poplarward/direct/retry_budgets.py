"""Limits the retries of all entry hosts together without coordination.

A service allows, in any window, retries for a fraction of its requests plus a fixed
number. Each host gains a fraction of a retry with each of its own requests, which needs
no coordination, and an even part of the fixed number, refilled over the window. Within
one window a host may use the part that it has saved and the part that it gains, and one
that restarts gets its part again, so only a third of the fixed number is allotted.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .clock import now_ms

__all__ = ["HostRetryBudget", "RetryBudgets", "ServiceRetryBudget"]

ALLOTTED_FRACTION = 1 / 3  # Saved, gained, and given again after a restart.
REQUEST_FRACTION = 0.7  # The previous window may have had fewer requests.
MAX_SAVED_RATIO = 1.0  # Saved retries are added to those of the current window.


class HostRetryBudget:
    """Token bucket for one host's retries towards one service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    fixed : float
        Further retries allowed in a window, for all hosts together.
    window_s : float
        Length of the window.

    Examples
    --------
    >>> budget = HostRetryBudget(ratio=0.2, fixed=6, window_s=10)
    >>> [budget.take(now_s=0.0, n_hosts=1) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, fixed: float, window_s: float):
        self._ratio = ratio * REQUEST_FRACTION
        self._fixed = fixed * ALLOTTED_FRACTION
        self._window_s = window_s
        self._n_left: float | None = None
        self._refilled_at_s = 0.0

    def record_request(self) -> None:
        """Count a request's first attempt."""
        if self._n_left is not None:
            self._n_left += self._ratio

    def take(self, now_s: float, n_hosts: int) -> bool:
        """Take one retry; returns whether one was left."""
        host_fixed = self._fixed / max(n_hosts, 1)
        limit = max(host_fixed, 1.0)
        if self._n_left is None:
            self._n_left = limit
            self._refilled_at_s = now_s
        elapsed_s = now_s - self._refilled_at_s
        gained = host_fixed * elapsed_s / self._window_s
        self._refilled_at_s = now_s
        self._n_left = min(self._n_left + gained, MAX_SAVED_RATIO * limit)
        if self._n_left < 1:
            return False
        self._n_left -= 1
        return True


class RetryBudgets:
    """Retry budgets of this host, by service.

    Parameters
    ----------
    ratio, fixed, window_s : float
        See `HostRetryBudget`.
    count_hosts : callable
        Returns the number of entry hosts.
    on_decision : callable
        Called with the service and whether a retry was allowed.
    """

    def __init__(
        self,
        ratio: float,
        fixed: float,
        window_s: float,
        count_hosts: Callable[[], int],
        on_decision: Callable[[str, bool], None] = lambda service, is_allowed: None,
    ):
        self._arguments = ratio, fixed, window_s
        self._count_hosts = count_hosts
        self._on_decision = on_decision
        self._budgets: dict[str, ServiceRetryBudget] = {}

    def for_service(self, service: str) -> ServiceRetryBudget:
        """Return the retry budget towards a service."""
        service_budget = self._budgets.get(service)
        if service_budget is None:
            budget = HostRetryBudget(*self._arguments)
            service_budget = self._budgets[service] = ServiceRetryBudget(
                budget, self._count_hosts, partial(self._on_decision, service)
            )
        return service_budget


class ServiceRetryBudget:
    """Retry budget of this host towards one service."""

    def __init__(
        self,
        budget: HostRetryBudget,
        count_hosts: Callable[[], int],
        on_decision: Callable[[bool], None],
    ):
        self._budget = budget
        self._count_hosts = count_hosts
        self._on_decision = on_decision

    def record_request(self) -> None:
        """Count a request's first attempt."""
        self._budget.record_request()

    def take(self) -> bool:
        """Take one retry; returns whether one was left."""
        is_allowed = self._budget.take(now_ms() / 1000, self._count_hosts())
        self._on_decision(is_allowed)
        return is_allowed
