"""The upstreams that an entry host knows, their load and recent behaviour."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..requests.health import UpstreamHealth
from ..requests.suspects import crash_id
from ..telemetry.logs import get_logger
from ..transport.http1_client import Http1Pool
from .model import UpstreamEntry
from .placement import Candidate
from .upstream_limits import LimitedUpstream
from .upstream_notices import NoticeTable

__all__ = ["Upstream", "UpstreamTable"]

FAILURE_SMOOTHING = 0.1  # Ten responses tell partial failure from a single error.
LATENCY_SMOOTHING = 0.2
IDLE_CONNECTIONS = 4  # As many as a host uses at once; upstreams limit the total.
MIN_LATENCIES = 3  # Upstreams with a known latency before any counts as slow.
MAX_SLOWNESS = 10.0

log = get_logger("upstreams")


class Upstream:
    """One upstream: its entry, connections and recent behaviour.

    Attributes
    ----------
    n_own_in_flight : int
        Requests that this host has in flight there.
    n_peer_in_flight : float
        Requests that the other entry hosts have in flight there, as last reported.
    reported_slowness : float
        Its time over that of other upstreams, as reported by itself.
    limited : LimitedUpstream
        Identifies it where its limit is kept.
    notices : UpstreamNotices
        What it has asked for in its responses.
    """

    def __init__(self, entry: UpstreamEntry, notice_table: NoticeTable):
        self.entry = entry
        self.n_own_in_flight = 0
        self.n_peer_in_flight = 0.0
        self.pool = Http1Pool(entry.address, IDLE_CONNECTIONS)
        self.health = UpstreamHealth()
        self.failure_share = 0.0
        self.latency_ms: float | None = None
        self.reported_slowness = 1.0
        self.remove_at_ms: float | None = None
        # A start ends with at most one crash, so one number identifies both.
        start = crash_id(entry.id, entry.started_at_ms)
        self.limited = LimitedUpstream(entry.id, entry.service, start)
        self.notices = notice_table.of(start, entry.id)

    def accepts_requests(self, now_ms: float) -> bool:
        """Whether the upstream is neither draining nor gone."""
        if self.remove_at_ms is not None and now_ms >= self.remove_at_ms:
            return False
        return not (self.entry.is_draining or self.notices.is_leaving)

    def is_available(self, now_ms: float) -> bool:
        """Whether a request may be sent to the upstream now."""
        # This runs for each upstream at each decision.
        notices = self.notices
        return (
            not notices.is_leaving
            and notices.paused_until_ms <= now_ms
            and self.health.down_until_ms <= now_ms
            and not self.entry.is_draining
            and (self.remove_at_ms is None or now_ms < self.remove_at_ms)
        )

    @property
    def available_at_ms(self) -> float:
        """When it may be tried again, if it does not leave."""
        return max(self.health.down_until_ms, self.notices.paused_until_ms)

    def record_success(self, latency_ms: float | None) -> None:
        """Record a response that was no failure."""
        self.health.record_success()
        self.failure_share *= 1 - FAILURE_SMOOTHING
        if latency_ms is None:
            return
        current = self.latency_ms
        self.latency_ms = (
            latency_ms
            if current is None
            else current + LATENCY_SMOOTHING * (latency_ms - current)
        )

    def record_failure(self) -> None:
        """Record a failure of the upstream."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def record_unreachable(self, now_ms: float) -> None:
        """Record a connection that was refused or broke."""
        self.record_failure()
        self.health.record_failure(now_ms)


class UpstreamTable:
    """All upstreams by id.

    Parameters
    ----------
    on_change : callable
        Called after each change that may free or take away a slot.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None):
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._notice_table = NoticeTable()
        self._peer_loads: dict[str, float] = {}
        self._on_change = on_change
        self._removed: list[Upstream] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by id, None if it is unknown."""
        return self._by_id.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Return all upstreams."""
        return list(self._by_id.values())

    def of_service(self, service: str) -> list[Upstream]:
        """Return a service's upstreams, including draining ones."""
        return list(self._by_service.get(service, {}).values())

    def replace_all(
        self, entries: Iterable[UpstreamEntry], missing_until_ms: float | None
    ) -> None:
        """Update the table to a complete list of upstreams.

        Upstreams that are not listed are removed, at `missing_until_ms` if given unless
        they are listed again by then.
        """
        listed = {entry.id: entry for entry in entries}
        for upstream_id in [i for i in self._by_id if i not in listed]:
            self.remove(upstream_id, missing_until_ms)
        for entry in listed.values():
            self.put(entry)

    def put(self, entry: UpstreamEntry) -> None:
        """Add or update one upstream."""
        current = self._by_id.get(entry.id)
        if (
            current is not None
            and current.entry == entry
            and current.remove_at_ms is None
        ):
            return
        if current is not None and _is_same_instance(current.entry, entry):
            current.entry = entry
            current.remove_at_ms = None
        else:
            if current is not None:
                self._removed.append(self._pop(entry.id))
            upstream = self._by_id[entry.id] = Upstream(entry, self._notice_table)
            self._by_service.setdefault(entry.service, {})[entry.id] = upstream
            # The other hosts may have heard of it sooner.
            upstream.n_peer_in_flight = self._peer_loads.get(entry.id, 0.0)
        log.info(
            "upstream.registered",
            upstream=entry.id,
            service=entry.service,
            address=entry.address,
            leaving=entry.is_draining,
        )
        self._on_change()

    def remove(self, upstream_id: str, at_ms: float | None) -> None:
        """Remove an upstream, at once or, unless it is listed again, at a time."""
        current = self._by_id.get(upstream_id)
        if current is None:
            return
        log.info(
            "upstream.missing" if at_ms is not None else "upstream.removed",
            upstream=upstream_id,
            service=current.entry.service,
        )
        if at_ms is not None:
            current.remove_at_ms = (
                at_ms if current.remove_at_ms is None else current.remove_at_ms
            )
            return
        self._removed.append(self._pop(upstream_id))
        self._on_change()

    def _pop(self, upstream_id: str) -> Upstream:
        upstream = self._by_id.pop(upstream_id)
        del self._by_service[upstream.entry.service][upstream_id]
        return upstream

    def update_slowness(self, slowness: dict[str, float]) -> None:
        """Replace the slowness that upstreams report; unlisted ones count as normal."""
        for upstream_id, upstream in self._by_id.items():
            upstream.reported_slowness = slowness.get(upstream_id, 1.0)

    def candidates(
        self, service: str, now_ms: float, base_load: float = 0.0
    ) -> list[Candidate]:
        """Return the upstreams of a service that accept requests now."""
        upstreams = self._by_service.get(service, {}).values()
        available = [u for u in upstreams if u.is_available(now_ms)]
        median_ms = _median_latency_ms(available)
        return [
            Candidate(
                u.entry.id,
                u.n_own_in_flight + u.n_peer_in_flight,
                u.entry.n_slots,
                u.reported_slowness
                if median_ms is None
                else max(u.reported_slowness, _slowness(u, median_ms)),
                u.failure_share,
                base_load,
            )
            for u in available
        ]

    def next_available_ms(self, service: str, now_ms: float) -> float | None:
        """Return the time until an upstream of a service may be tried again.

        None if there is none, or if none has to be waited for.
        """
        waits_ms = [
            u.available_at_ms - now_ms
            for u in self.of_service(service)
            if u.accepts_requests(now_ms) and not u.is_available(now_ms)
        ]
        return min(waits_ms, default=None)

    def due_for_check(self, now_ms: float) -> list[Upstream]:
        """Return upstreams that said they leave and have stayed registered."""
        return [
            upstream
            for upstream in self._by_id.values()
            if not upstream.entry.is_draining and upstream.notices.take_check(now_ms)
        ]

    def begin(self, upstream: Upstream) -> None:
        """Count a request as in flight, before it is sent."""
        upstream.n_own_in_flight += 1

    def end(self, upstream: Upstream) -> None:
        """Count a request as ended."""
        upstream.n_own_in_flight -= 1
        self._on_change()

    def update_peer_loads(self, changed: dict[str, float]) -> None:
        """Update the other hosts' requests in flight at some upstreams."""
        for upstream_id, n_requests in changed.items():
            self._peer_loads[upstream_id] = n_requests
            upstream = self._by_id.get(upstream_id)
            if upstream is not None:
                upstream.n_peer_in_flight = n_requests
            if not n_requests:
                del self._peer_loads[upstream_id]
        self._on_change()

    def own_loads(self) -> dict[str, int]:
        """Return this host's in-flight requests by upstream, without zeros."""
        return {
            i: u.n_own_in_flight for i, u in self._by_id.items() if u.n_own_in_flight
        }

    async def close_removed(self) -> None:
        """Close the idle connections of removed upstreams."""
        while self._removed:
            await self._removed.pop().pool.close()

    def discard_notices(self, now_ms: float) -> None:
        """Forget what upstreams that ended a while ago have asked for."""
        registered = {upstream.limited.start for upstream in self._by_id.values()}
        self._notice_table.discard_old(registered, now_ms)


def _is_same_instance(current: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return (current.address, current.started_at_ms) == (
        entry.address,
        entry.started_at_ms,
    )


def _median_latency_ms(upstreams: list[Upstream]) -> float | None:
    latencies_ms = sorted(u.latency_ms for u in upstreams if u.latency_ms is not None)
    if len(latencies_ms) < MIN_LATENCIES:
        return None
    return latencies_ms[(len(latencies_ms) - 1) // 2]


def _slowness(upstream: Upstream, median_ms: float) -> float:
    if upstream.latency_ms is None or median_ms <= 0:
        return 1.0
    return min(MAX_SLOWNESS, max(1.0, upstream.latency_ms / median_ms))
