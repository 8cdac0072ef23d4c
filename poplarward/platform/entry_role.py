"""The entry role: serves callers, address look-ups, readiness checks and metrics."""

from __future__ import annotations

import random
import signal
from typing import Any

import trio

from ..direct.clock import now_ms
from ..direct.crash_watch import CrashWatch
from ..direct.feed_watcher import FeedWatcher
from ..direct.host_heartbeats import HeartbeatExchange, HostState
from ..direct.map_controller import MapController
from ..direct.ports import FeedChange
from ..direct.relay import Relay
from ..direct.request_log import RequestLog
from ..direct.retry_budgets import RetryBudgets
from ..direct.routing_state import RoutingState
from ..direct.suspect_exchange import SuspectExchange
from ..direct.upstream_limits import UpstreamLimits
from ..direct.upstreams import Upstream
from ..errors import ConflictError, FindingsError, NotFound, StoreUnavailable
from ..requests.suspects import SuspectTable
from ..state.budget import Backoff, RetryBudget
from ..telemetry.logs import get_logger
from ..telemetry.metrics import RequestMetrics
from ..transport.http1_exchange import CallerLimits, Exchange
from ..transport.http1_server import Http1Server
from .configuration import (
    CONFIGURATION_NAME,
    decode_configuration,
    decode_host,
    decode_upstream,
)
from .headers import PlatformHeaders
from .lookups import respond_to_lookup
from .rank_control import PlatformRankControl
from .settings import PlatformSettings, read_platform_settings
from .store import PlatformStore, StoreFeed
from .upstream_calls import UpstreamCalls

__all__ = ["EntryRole"]

CONFIGURATION_WAIT_MS = 2_000  # A lost response is noticed well within 3 s.
REQUEST_MEMORY_FRACTION = 0.125  # Of a host's memory, for the bodies of requests.
BYTES_PER_MB = 1_048_576
LOOKUP_LIMITS = CallerLimits(max_body_bytes=1_024)  # Look-ups and checks have no body.
CONFIRM_WAIT_MS = 200  # For the call after a change; see `FeedWatcher`.
UPSTREAMS_WAIT_MS = 2_400  # A dead connection is noticed in about this time.
# Of the platform's limit for a revocation; the rest is for requests in transit.
MAX_STALENESS_FRACTION = 0.84
# Of the platform's limit for an upstream that is gone; the rest is for requests in
# transit.
DRAIN_FRACTION = 0.85
LAST_ACCEPT_MS = 2_800.0  # Later requests might not end before the process does.
SHUTDOWN_RESERVE_MS = 700.0  # Kept of the time that the platform allows.
FINAL_RESPONSES_S = 0.3  # For sending them; within the reserve.
MIN_SHUTDOWN_MS = 1_500.0  # Callers learn by then that this host is stopping.
SHUTDOWN_POLL_S = 0.05
UPKEEP_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0  # A probe waits for a slot, as any request.
HOSTS_KIND = "entryhosts"
STORE_RETRIES_PER_S = 3.0  # All hosts together stay far below the store's limits.

log = get_logger("entry")


class EntryRole:
    """One process of the entry role.

    Parameters
    ----------
    settings : PlatformSettings
    settings_path : str
        Path of the settings file, read again at SIGHUP.
    metrics_port : int
    rng : random.Random
    """

    def __init__(
        self,
        settings: PlatformSettings,
        settings_path: str,
        metrics_port: int,
        rng: random.Random,
    ):
        self._settings = settings
        self._settings_path = settings_path
        self._metrics_port = metrics_port
        self._rng = rng
        self._stopping_since_ms: float | None = None
        self._store = PlatformStore(settings.store_address)
        self._retry_budget = RetryBudget(STORE_RETRIES_PER_S)
        self._metrics = RequestMetrics()
        retry_budgets = RetryBudgets(
            settings.retry_ratio,
            settings.retry_fixed,
            settings.retry_window_s,
            lambda: self._exchange.count_hosts(),
            self._metrics.count_retry,
        )
        self._configuration = FeedWatcher(
            "configuration",
            StoreFeed(
                self._store, "config", lambda _, spec: decode_configuration(spec)
            ),
            CONFIGURATION_WAIT_MS,
            self._apply_configuration_list,
            self._apply_configuration_change,
            self._backoff(),
            CONFIRM_WAIT_MS,
        )
        limits = UpstreamLimits(
            settings.host,
            lambda: self._exchange.reachable_fraction(),
            lambda service: self._exchange.waiting_hosts(service),
        )
        self._routing_state = RoutingState(
            MAX_STALENESS_FRACTION * settings.revocation_ms,
            self._configuration.age_ms,
            retry_budgets,
            rng,
            limits,
        )
        self._metrics.observe_limits(self._routing_state.limit_uses)
        self._registry = FeedWatcher(
            "upstreams",
            StoreFeed(self._store, "servers", decode_upstream),
            UPSTREAMS_WAIT_MS,
            self._apply_upstream_list,
            self._apply_upstream_change,
            self._backoff(),
        )
        suspects = SuspectTable()
        self._metrics.observe_quarantine(lambda: suspects.n_quarantined)
        self._exchange = HeartbeatExchange(
            settings.host,
            settings.callers_address,
            self._read_state,
            self.is_serving,
            self._routing_state.upstreams.update_peer_loads,
            self._routing_state.upstreams.update_slowness,
            self._routing_state.update_post_shift_skews,
            settings.link_mbps,
            SuspectExchange(suspects),
            limits,
            self._compare_version,
        )
        self._routing_state.on_load_change = self._exchange.notify_load_change
        headers = PlatformHeaders()
        self._calls = UpstreamCalls(self._routing_state.upstreams, headers)
        self._controller = MapController(
            self._routing_state,
            PlatformRankControl(self._calls, settings.link_mbps),
            self._exchange,
            rng,
            self._share_slowness,
        )
        self._relay = Relay(
            self._routing_state,
            headers,
            RequestLog(self._routing_state, self._metrics),
            CrashWatch(suspects, self._exchange.is_chosen),
            rng,
        )
        self._callers = Http1Server(
            self._relay.handle,
            self._routing_state.limits,
            settings.max_sockets * 6 // 10,
            int(REQUEST_MEMORY_FRACTION * settings.memory_mb * BYTES_PER_MB),
        )

    def is_serving(self) -> bool:
        """Whether callers should be sent to this host."""
        return (
            self._stopping_since_ms is None
            and self._routing_state.routing_table is not None
            and not self._routing_state.is_configuration_stale()
            and len(self._routing_state.upstreams) > 0
        )

    async def run(self) -> None:
        """Serve until the process is told to stop and has shut down."""
        settings = self._settings
        log.info("process.start", host=settings.host, data_centre=settings.data_centre)
        await self._exchange.start(settings.ip, settings.exchange_port)
        self._exchange.add_endpoints(
            (ip, settings.exchange_port)
            for ip in settings.seed_ips
            if ip != settings.ip
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_signals, nursery.cancel_scope)
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._registry.run)
            nursery.start_soon(self._exchange.run)
            nursery.start_soon(self._register)
            nursery.start_soon(self._maintain_upstreams)
            nursery.start_soon(self._controller.run)
            await self._start_server(nursery, self._callers, settings.callers_address)
            for address, handler in (
                (settings.ready_address, self._respond_ready),
                (settings.directory_address, self._respond_directory),
                (f"{settings.ip}:{self._metrics_port}", self._respond_metrics),
            ):
                server = Http1Server(
                    handler, lambda: LOOKUP_LIMITS, settings.max_sockets // 10
                )
                await self._start_server(nursery, server, address)
        self._exchange.close()
        log.info("process.stop", n_cut=self._callers.n_in_progress)

    async def _start_server(
        self, nursery: trio.Nursery, server: Http1Server, address: str
    ) -> None:
        host, _, port = address.rpartition(":")
        try:
            await nursery.start(server.serve, host, int(port))
        except OSError as error:
            log.error("listen.failed", address=address, reason=str(error))
            raise

    def _backoff(self) -> Backoff:
        return Backoff(self._retry_budget, self._rng, max_backoff_ms=1_000.0)

    def _read_state(self) -> HostState:
        return HostState(
            self._routing_state.upstreams.own_loads(),
            self._controller.slowness(),
            self._routing_state.slowed_services(),
            self._controller.post_shift_skews(),
            self._routing_state.services_with_queue(),
            self._routing_state.version,
        )

    def _compare_version(self, version: int) -> None:
        """Compare another host's version of the configuration with this host's."""
        own_version = self._routing_state.version
        lag = self._routing_state.configuration_lag
        lag.record(version, own_version)
        if lag.should_list(own_version):
            self._configuration.list_again()

    def _share_slowness(self) -> None:
        self._routing_state.upstreams.update_slowness(self._exchange.slowness())
        self._exchange.notify_load_change()

    def _apply_configuration_list(self, objects: dict[str, Any]) -> None:
        configuration = objects.get(CONFIGURATION_NAME)
        if configuration is not None:
            self._routing_state.apply_configuration(configuration)

    def _apply_configuration_change(self, change: FeedChange) -> None:
        if change.name == CONFIGURATION_NAME and change.value is not None:
            self._routing_state.apply_configuration(change.value)

    def _missing_allowed_until_ms(self) -> float | None:
        """Return until when missing entries may still be written again.

        None unless the store has recovered only just now.
        """
        if not self._registry.is_recovering:
            return None
        return now_ms() + DRAIN_FRACTION * self._settings.drain_ms

    def _apply_upstream_list(self, objects: dict[str, Any]) -> None:
        self._routing_state.upstreams.replace_all(
            objects.values(), self._missing_allowed_until_ms()
        )

    def _apply_upstream_change(self, change: FeedChange) -> None:
        upstreams = self._routing_state.upstreams
        if change.value is None:
            upstreams.remove(change.name, self._missing_allowed_until_ms())
        else:
            upstreams.put(change.value)

    async def _register(self) -> None:
        """Register this host in the store, then read the entries of other hosts.

        Of two hosts that start together, the one that writes later finds the other's
        entry, and its heartbeats then announce it to the other.
        """
        settings = self._settings
        spec = {"ip": settings.ip, "port": settings.exchange_port}
        feed = StoreFeed(self._store, HOSTS_KIND, decode_host)
        backoff = self._backoff()
        while True:
            try:
                try:
                    await self._store.create(HOSTS_KIND, settings.host, spec)
                except ConflictError:
                    await self._store.replace(HOSTS_KIND, settings.host, spec)
                listing = await feed.list()
                break
            except (StoreUnavailable, NotFound) as error:
                log.warning("hosts.registration_failed", reason=str(error))
                await backoff.wait()
        endpoints = {
            (ip, port) for ip, port in listing.objects.values() if ip != settings.ip
        }
        self._exchange.add_endpoints(endpoints)
        log.info("hosts.registered", n_others=len(endpoints))
        await self._exchange.send_heartbeat()

    async def _maintain_upstreams(self) -> None:
        upstreams = self._routing_state.upstreams
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(UPKEEP_INTERVAL_S)
                await upstreams.close_removed()
                upstreams.discard_notices(now_ms())
                self._routing_state.upstream_limits.discard_old(now_ms())
                for upstream in upstreams.due_for_check(now_ms()):
                    nursery.start_soon(self._probe, upstream)

    async def _probe(self, upstream: Upstream) -> None:
        """Ask an upstream for a response, which states whether it is leaving."""
        service = self._routing_state.service(upstream.entry.service)
        if service is not None and service.health_path:
            await self._calls.call(
                upstream.entry.id, "GET", service.health_path, PROBE_TIMEOUT_S
            )

    async def _respond_ready(self, exchange: Exchange) -> None:
        await exchange.respond(200 if self.is_serving() else 503, [], b"")

    async def _respond_directory(self, exchange: Exchange) -> None:
        addresses = self._exchange.serving_addresses()
        await respond_to_lookup(exchange, addresses)

    async def _respond_metrics(self, exchange: Exchange) -> None:
        await exchange.respond(
            200,
            [(b"Content-Type", b"text/plain; version=0.0.4")],
            self._metrics.render(),
        )

    async def _watch_signals(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self._reload()
                elif self._stopping_since_ms is None:
                    self._stopping_since_ms = now_ms()
                    log.info("process.stopping", n_requests=self._callers.n_in_progress)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._exchange.send_heartbeat)
                        nursery.start_soon(self._stop, scope)

    async def _stop(self, scope: trio.CancelScope) -> None:
        """Shut down once the requests in progress have ended, or when time is up."""
        since_ms = now_ms()
        limit_ms = self._settings.shutdown_ms - SHUTDOWN_RESERVE_MS
        self._routing_state.stops_at_ms = since_ms + limit_ms
        await trio.sleep(MIN_SHUTDOWN_MS / 1000)
        self._callers.close_idle()
        while now_ms() - since_ms < limit_ms and self._callers.n_in_progress:
            self._routing_state.is_stopping = now_ms() - since_ms > LAST_ACCEPT_MS
            await trio.sleep(SHUTDOWN_POLL_S)
        log.info("process.ending_requests", n_requests=self._callers.n_in_progress)
        self._relay.end_requests()
        with trio.move_on_after(FINAL_RESPONSES_S):
            while self._callers.n_in_progress:
                await trio.sleep(SHUTDOWN_POLL_S)
        scope.cancel()

    def _reload(self) -> None:
        try:
            self._settings = read_platform_settings(self._settings_path)
        except FindingsError as error:
            log.error("settings.invalid", findings=str(error))
            return
        log.info("settings.reloaded")
