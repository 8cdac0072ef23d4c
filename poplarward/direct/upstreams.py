"""The upstreams that an entry host knows, and what it has learnt of each."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..requests.health import UpstreamHealth
from ..telemetry.logs import get_logger
from ..transport.http1_client import Http1Pool
from .model import UpstreamEntry
from .placement import Candidate

__all__ = ["Upstream", "UpstreamTable"]

FAILURE_SMOOTHING = 0.1  # Ten answers tell a grey upstream from one bad answer.
LATENCY_SMOOTHING = 0.2
IDLE_CONNECTIONS = 4  # As many as one host uses at once; upstreams bound all hosts.
MIN_LATENCIES = 3  # Upstreams with a known latency before any counts as slow.
MAX_SLOWNESS = 10.0

log = get_logger("upstreams")


class Upstream:
    """One upstream: its entry, connections and recent behaviour.

    Attributes
    ----------
    n_own : int
        Requests that this host has there.
    n_others : float
        Requests that the other entry hosts have there, as far as they said.
    told_slowness : float
        Its time over that of others, as it reports itself.
    """

    def __init__(self, entry: UpstreamEntry):
        self.entry = entry
        self.n_own_in_flight = 0
        self.n_peer_in_flight = 0.0
        self.pool = Http1Pool(entry.address, IDLE_CONNECTIONS)
        self.health = UpstreamHealth()
        self.failure_share = 0.0
        self.latency_ms: float | None = None
        self.reported_slowness = 1.0
        self.remove_at_ms: float | None = None

    def record_success(self, latency_ms: float | None) -> None:
        """Note an answer of its own."""
        self.health.record_success()
        self.failure_share *= 1 - FAILURE_SMOOTHING
        if latency_ms is None:
            return
        held = self.latency_ms
        self.latency_ms = (
            latency_ms
            if held is None
            else held + LATENCY_SMOOTHING * (latency_ms - held)
        )

    def record_failure(self) -> None:
        """Note an answer that says that the upstream failed."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def record_unreachable(self, now_ms: float) -> None:
        """Note a connection that was refused or broke."""
        self.record_failure()
        self.health.record_failure(now_ms)


class UpstreamTable:
    """All upstreams by id.

    Parameters
    ----------
    on_change : callable
        Called after each change that may open or close a place for a request.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None):
        self._by_id: dict[str, Upstream] = {}
        self._on_change = on_change
        self._removed: list[Upstream] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream, None if it is unknown."""
        return self._by_id.get(upstream_id)

    def of_service(self, service: str) -> list[Upstream]:
        """Return a service's upstreams, leaving ones too."""
        return [u for u in self._by_id.values() if u.entry.service == service]

    def replace_all(
        self, entries: Iterable[UpstreamEntry], missing_until_ms: float | None
    ) -> None:
        """Take in a whole list.

        Upstreams that are not on it are removed; at `missing_until_ms` if given, unless
        they are back by then.
        """
        listed = {entry.id: entry for entry in entries}
        for upstream_id in [i for i in self._by_id if i not in listed]:
            self.remove(upstream_id, missing_until_ms)
        for entry in listed.values():
            self.put(entry)

    def put(self, entry: UpstreamEntry) -> None:
        """Take in one entry."""
        held = self._by_id.get(entry.id)
        if held is not None and held.entry == entry and held.remove_at_ms is None:
            return
        if held is not None and _is_same_start(held.entry, entry):
            held.entry = entry
            held.remove_at_ms = None
        else:
            if held is not None:
                self._removed.append(held)
            self._by_id[entry.id] = Upstream(entry)
        log.info(
            "upstream.known",
            upstream=entry.id,
            service=entry.service,
            address=entry.address,
            leaving=entry.is_draining,
        )
        self._on_change()

    def remove(self, upstream_id: str, at_ms: float | None) -> None:
        """Forget an upstream, at once or at a time unless it is back by then."""
        held = self._by_id.get(upstream_id)
        if held is None:
            return
        log.info(
            "upstream.missing" if at_ms is not None else "upstream.gone",
            upstream=upstream_id,
            service=held.entry.service,
        )
        if at_ms is not None:
            held.remove_at_ms = (
                at_ms if held.remove_at_ms is None else held.remove_at_ms
            )
            return
        self._removed.append(self._by_id.pop(upstream_id))
        self._on_change()

    def update_slowness(self, slowness: dict[str, float]) -> None:
        """Replace what slow upstreams report of themselves."""
        for upstream_id, upstream in self._by_id.items():
            upstream.reported_slowness = slowness.get(upstream_id, 1.0)

    def candidates(
        self, service: str, now_ms: float, n_base: float = 0.0
    ) -> list[Candidate]:
        """Return the upstreams of a service that take requests now."""
        usable = [u for u in self.of_service(service) if _takes_requests(u, now_ms)]
        reachable = [u for u in usable if not u.health.is_down(now_ms)]
        typical_ms = _median_latency(reachable)
        return [
            Candidate(
                u.entry.id,
                u.n_own_in_flight + u.n_peer_in_flight,
                u.entry.n_slots,
                max(u.reported_slowness, _slowness(u, typical_ms)),
                u.failure_share,
                n_base,
            )
            for u in reachable
        ]

    def next_retry_ms(self, service: str, now_ms: float) -> float | None:
        """Return in how long an upstream that was unreachable may be tried again."""
        down = [
            u.health.down_until_ms - now_ms
            for u in self.of_service(service)
            if _takes_requests(u, now_ms) and u.health.is_down(now_ms)
        ]
        return min(down, default=None)

    def begin(self, upstream: Upstream) -> None:
        """Count a request in, before it is sent."""
        upstream.n_own_in_flight += 1

    def end(self, upstream: Upstream) -> None:
        """Count a request out."""
        upstream.n_own_in_flight -= 1
        self._on_change()

    def update_peer_loads(self, loads: dict[str, float]) -> None:
        """Replace what the other hosts have in hand, by upstream."""
        for upstream_id, upstream in self._by_id.items():
            upstream.n_peer_in_flight = loads.get(upstream_id, 0.0)
        self._on_change()

    def own_loads(self) -> dict[str, int]:
        """Return what this host has in hand, without upstreams that have nothing."""
        return {
            i: u.n_own_in_flight for i, u in self._by_id.items() if u.n_own_in_flight
        }

    async def close_removed(self) -> None:
        """Close the idle connections of upstreams that are gone."""
        while self._removed:
            await self._removed.pop().pool.close()


def _is_same_start(held: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return (held.address, held.started_at_ms) == (entry.address, entry.started_at_ms)


def _takes_requests(upstream: Upstream, now_ms: float) -> bool:
    gone_at_ms = upstream.remove_at_ms
    if gone_at_ms is not None and now_ms >= gone_at_ms:
        return False
    return not upstream.entry.is_draining


def _median_latency(upstreams: list[Upstream]) -> float | None:
    known = sorted(u.latency_ms for u in upstreams if u.latency_ms is not None)
    if len(known) < MIN_LATENCIES:
        return None
    return known[(len(known) - 1) // 2]


def _slowness(upstream: Upstream, typical_ms: float | None) -> float:
    if typical_ms is None or upstream.latency_ms is None or typical_ms <= 0:
        return 1.0
    return min(MAX_SLOWNESS, max(1.0, upstream.latency_ms / typical_ms))
