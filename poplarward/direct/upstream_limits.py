"""Keeps the limits that upstreams name, over all entry hosts together.

Each host has a token bucket for each limited upstream, filled at the whole limit, from
which it takes its own requests and those that the other hosts report with their
heartbeats. So the hosts that have requests use the limit, however these are spread.

Hosts that see a token at the same time would all take it before they hear of each
other. So as many of the hosts that have requests waiting may take tokens as there are
tokens, chosen by rendezvous hashing, and others get their turn after a short time.

A host that has not been heard of may be cut off and still use the limit, so the others
leave a part for it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..hashing import rendezvous_ranking
from ..requests.limits.shares import TokenBucket
from ..telemetry.logs import get_logger
from .named_limit import NamedLimit

__all__ = ["LimitReport", "LimitUse", "LimitedUpstream", "UpstreamLimits"]

MIN_RATE_PER_S = 0.25  # The end of a limit of 0 is noticed by the requests sent there.
TURN_MS = 200.0  # Other hosts hear of a request within this time.
HEARTBEAT_DELAY_MS = 500.0  # Age of a report when it arrives, at most.
# Part of a limit that hosts which are cut off from each other may use together. It lets
# three of four use the whole limit after the fourth has ended.
CUT_OFF_RATIO = 1.3
MAX_DEBT_S = 2.0  # Time for which a host pauses at most, as others have sent more.
REPORT_SENDS = 3  # Heartbeats that carry a change.
REPEAT_INTERVAL_MS = 250.0
MAX_REPORTS = 32  # In one heartbeat.
MAX_UPSTREAMS = 1_024
EXPIRY_MS = 60_000.0  # Of a limit that no response has named since, or ended.

log = get_logger("limits")


class LimitReport(NamedTuple):
    """What a host tells the others about a limited upstream.

    Attributes
    ----------
    start : int
        Identifies the upstream and its start.
    limit_per_s : float
        Infinite if the upstream names none any more.
    age_ms : float
        Time since the upstream named it.
    n_sent : int
        Requests that the host has sent there since it knows of the limit.
    """

    start: int
    limit_per_s: float
    age_ms: float
    n_sent: int


class LimitUse(NamedTuple):
    """A limit that is in force, and how many requests this host has sent under it."""

    upstream_id: str
    limit_per_s: float
    n_sent: int


class LimitedUpstream(NamedTuple):
    """An upstream that may have a limit; ``start`` identifies it and its start."""

    id: str
    service: str
    start: int


class _Account:
    """What is known of one upstream's limit and of the requests sent to it."""

    def __init__(self, named: NamedLimit, at_ms: float, upstream_id: str | None):
        self.named = named
        self.upstream_id = upstream_id
        self.bucket = TokenBucket()
        # The requests sent just before are not known, so the first has to wait.
        self.bucket.refill(named.limit_per_s, at_ms)
        self.bucket.consume(self.bucket.level + 1)
        self.n_sent = 0
        self.n_sent_by_others: dict[tuple[str, str], int] = {}
        self.used_at_ms = named.latest_ms
        self.n_reports_left = REPORT_SENDS

    @property
    def is_limited(self) -> bool:
        return self.named.limit_per_s != math.inf

    @property
    def n_sent_by_all(self) -> int:
        return self.n_sent + sum(self.n_sent_by_others.values())

    def consume(self, n_requests: int, rate_per_s: float, at_ms: float) -> None:
        """Take tokens for requests that were sent; the debt is bounded."""
        self.bucket.refill(rate_per_s, at_ms)
        max_debt = max(1.0, MAX_DEBT_S * rate_per_s)
        self.bucket.consume(min(float(n_requests), self.bucket.level + max_debt))
        self.used_at_ms = at_ms


class UpstreamLimits:
    """Limits of upstreams, and the use that this host may make of them.

    Parameters
    ----------
    host : str
    reachable_fraction : callable
        Returns which fraction of the known entry hosts this one hears of, with itself.
    waiting_hosts : callable
        Returns the other hosts that have requests waiting for a service.
    """

    def __init__(
        self,
        host: str,
        reachable_fraction: Callable[[], float] = lambda: 1.0,
        waiting_hosts: Callable[[str], Sequence[str]] = lambda service: (),
    ):
        self._host = host
        self._reachable_fraction = reachable_fraction
        self._waiting_hosts = waiting_hosts
        self._accounts: dict[int, _Account] = {}
        self._repeated: list[int] = []
        self._repeated_at_ms = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known."""
        return not self._accounts

    def record_response(
        self,
        upstream: LimitedUpstream,
        limit_per_s: float | None,
        sent_at_ms: float,
        at_ms: float,
    ) -> None:
        """Record the limit that a response names, or that it names none.

        `sent_at_ms` is when its request was sent, `at_ms` when it arrived.
        """
        if limit_per_s is None and self._limited(upstream.start) is None:
            return
        limit = math.inf if limit_per_s is None else limit_per_s
        named = NamedLimit(limit, sent_at_ms, at_ms)
        self._update(upstream.start, named, at_ms, upstream.id)

    def may_send(
        self, upstream: LimitedUpstream, at_ms: float, yields: bool = False
    ) -> bool:
        """Whether this host may now send a request to an upstream.

        One that yields gets only what would else be lost.
        """
        account = self._limited(upstream.start)
        if account is None:
            return True
        rate_per_s = self._rate_per_s(account)
        bucket = account.bucket
        bucket.refill(rate_per_s, at_ms)
        if bucket.wait_ms(rate_per_s) > 0 or (yields and not bucket.is_full):
            return False
        others = self._waiting_hosts(upstream.service)
        n_chosen = math.ceil(bucket.level)
        if n_chosen > len(others):
            return True
        turn = int((at_ms - account.used_at_ms) // TURN_MS)
        key = f"{upstream.start:x}/{account.n_sent_by_all}/{turn}"
        return self._host in rendezvous_ranking(key, {self._host, *others})[:n_chosen]

    def record_send(self, upstream: LimitedUpstream, at_ms: float) -> None:
        """Record that this host sends a request to an upstream."""
        account = self._limited(upstream.start)
        if account is None:
            return
        account.consume(1, self._rate_per_s(account), at_ms)
        account.n_sent += 1
        account.n_reports_left = REPORT_SENDS

    def wait_ms(self, upstream: LimitedUpstream, at_ms: float) -> float:
        """Return the time until an upstream takes another request; 0 if it may now."""
        account = self._limited(upstream.start)
        if account is None:
            return 0.0
        rate_per_s = self._rate_per_s(account)
        account.bucket.refill(rate_per_s, at_ms)
        return account.bucket.wait_ms(rate_per_s)

    def rate_per_s(self, upstream: LimitedUpstream) -> float:
        """Return the requests per second that hosts may send; infinite if unlimited."""
        account = self._limited(upstream.start)
        return math.inf if account is None else self._rate_per_s(account)

    def n_waiting_hosts(self, service: str) -> int:
        """Return how many other hosts have requests waiting for a service."""
        return len(self._waiting_hosts(service))

    def uses(self, upstreams: Iterable[LimitedUpstream]) -> list[LimitUse]:
        """Return the limits in force, and this host's use of them."""
        return [
            LimitUse(upstream.id, account.named.limit_per_s, account.n_sent)
            for upstream in upstreams
            if (account := self._limited(upstream.start)) is not None
        ]

    def next_reports(self, at_ms: float) -> list[LimitReport]:
        """Return the reports for the next heartbeat: what has changed, and one more."""
        due = [s for s, account in self._accounts.items() if account.n_reports_left]
        due = due[:MAX_REPORTS]
        for start in due:
            self._accounts[start].n_reports_left -= 1
        due += [start for start in self._due_repeats(at_ms) if start not in due]
        return [
            LimitReport(
                start,
                account.named.limit_per_s,
                max(0.0, at_ms - account.named.latest_ms),
                account.n_sent,
            )
            for start in due
            if (account := self._accounts.get(start)) is not None
        ]

    def merge(
        self, host: str, start_id: str, reports: Iterable[LimitReport], at_ms: float
    ) -> None:
        """Merge the reports of another host; `start_id` is new for each start of it."""
        for report in reports:
            if report.age_ms > EXPIRY_MS or not self._may_know(report):
                continue
            latest_ms = at_ms - report.age_ms
            named = NamedLimit(
                report.limit_per_s, latest_ms - HEARTBEAT_DELAY_MS, latest_ms
            )
            self._update(report.start, named, at_ms)
            account = self._accounts[report.start]
            counted = account.n_sent_by_others.get((host, start_id), 0)
            if report.n_sent > counted:
                account.n_sent_by_others[host, start_id] = report.n_sent
                account.consume(
                    report.n_sent - counted, self._rate_per_s(account), at_ms
                )

    def discard_old(self, at_ms: float) -> None:
        """Forget limits that no response has named for a long time."""
        for start, account in list(self._accounts.items()):
            if at_ms - account.named.latest_ms > EXPIRY_MS:
                del self._accounts[start]

    def _update(
        self,
        start: int,
        named: NamedLimit,
        at_ms: float,
        upstream_id: str | None = None,
    ) -> None:
        account = self._accounts.get(start)
        if account is None:
            self._accounts[start] = _Account(named, at_ms, upstream_id)
            self._log_change(start, math.inf)
            return
        account.upstream_id = upstream_id or account.upstream_id
        previous, account.named = account.named, account.named.update(named)
        if account.named.limit_per_s != previous.limit_per_s:
            account.n_reports_left = REPORT_SENDS
            self._log_change(start, previous.limit_per_s)

    def _log_change(self, start: int, previous_per_s: float) -> None:
        account = self._accounts[start]
        log.info(
            "upstream.limit_changed",
            upstream=account.upstream_id,
            start=f"{start:08x}",
            limit_per_s=_or_none(account.named.limit_per_s),
            previous_per_s=_or_none(previous_per_s),
        )

    def _may_know(self, report: LimitReport) -> bool:
        if report.start in self._accounts:
            return True
        return report.limit_per_s != math.inf and len(self._accounts) < MAX_UPSTREAMS

    def _limited(self, start: int) -> _Account | None:
        account = self._accounts.get(start)
        return account if account is not None and account.is_limited else None

    def _rate_per_s(self, account: _Account) -> float:
        fraction = min(1.0, CUT_OFF_RATIO * self._reachable_fraction())
        return max(MIN_RATE_PER_S, account.named.limit_per_s) * fraction

    def _due_repeats(self, at_ms: float) -> list[int]:
        if at_ms < self._repeated_at_ms + REPEAT_INTERVAL_MS:
            return []
        self._repeated_at_ms = at_ms
        if not self._repeated:
            self._repeated = list(self._accounts)
        due, self._repeated = self._repeated[:1], self._repeated[1:]
        return due


def _or_none(limit_per_s: float) -> float | None:
    return None if limit_per_s == math.inf else limit_per_s
