"""The role of an entry host: serves callers, address look-ups and checks."""

from __future__ import annotations

import random
import signal
from typing import Any

import trio

from ..direct.clock import now_ms
from ..direct.feed_watcher import FeedWatcher
from ..direct.host_heartbeats import HeartbeatExchange, HostState
from ..direct.map_controller import MapController
from ..direct.ports import FeedChange
from ..direct.relay import Relay
from ..direct.request_log import RequestLog
from ..direct.retry_budgets import RetryBudgets
from ..direct.routing_state import RoutingState
from ..errors import ConflictError, FindingsError, NotFound, StoreUnavailable
from ..state.budget import Backoff, RetryBudget
from ..telemetry.logs import get_logger
from ..telemetry.metrics import RequestMetrics
from ..transport.http1_server import CallerLimits, Exchange, Http1Server
from .configuration import CONFIGURATION_NAME, decode_configuration, decode_upstream
from .headers import PlatformHeaders
from .lookups import answer_lookup
from .rank_control import PlatformRankControl
from .settings import PlatformSettings, read_platform_settings
from .store import PlatformStore, StoreFeed

__all__ = ["EntryRole"]

CONFIGURATION_WAIT_MS = 3_000  # Confirms the configuration within its greatest age.
CONFIRM_WAIT_MS = 200  # The call after a change; see `FeedWatcher`.
UPSTREAMS_WAIT_MS = 2_400  # A silent connection is noticed in about the same time.
MAX_STALENESS_FRACTION = (
    0.84  # Of the revocation bound; the rest is for requests on their way.
)
DRAIN_FRACTION = 0.85  # Of the leaving bound; the rest is for requests on their way.
LAST_ACCEPT_MS = 2_800.0  # Requests that come later may not end before the host does.
SHUTDOWN_RESERVE_MS = 700.0  # Kept of the time that the platform allows for a stop.
MIN_SHUTDOWN_MS = 1_500.0  # Callers hear within it that this host is leaving.
SHUTDOWN_POLL_S = 0.05
HOSTS_KIND = "entryhosts"
STORE_RETRIES_PER_S = 3.0  # All hosts together stay far below the store's rates.

log = get_logger("entry")


class EntryRole:
    """One process of the role.

    Parameters
    ----------
    settings : PlatformSettings
    settings_path : str
        Read again at SIGHUP.
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
        bounds = RetryBudgets(
            settings.retry_ratio,
            settings.retry_fixed,
            settings.retry_window_s,
            self._count_hosts,
        )
        self._configuration = FeedWatcher(
            "configuration",
            StoreFeed(
                self._store, "config", lambda _, spec: decode_configuration(spec)
            ),
            CONFIGURATION_WAIT_MS,
            self._take_configurations,
            self._take_configuration,
            self._backoff(),
            CONFIRM_WAIT_MS,
        )
        self._beliefs = RoutingState(
            MAX_STALENESS_FRACTION * settings.revocation_ms,
            self._configuration.age_ms,
            bounds,
            rng,
        )
        self._registry = FeedWatcher(
            "upstreams",
            StoreFeed(self._store, "servers", decode_upstream),
            UPSTREAMS_WAIT_MS,
            self._take_upstreams,
            self._take_upstream,
            self._backoff(),
        )
        self._exchange = HeartbeatExchange(
            settings.host,
            settings.callers_address,
            self._state_to_tell,
            self.is_serving,
            self._beliefs.upstreams.update_peer_loads,
            self._beliefs.upstreams.update_slowness,
            self._beliefs.update_post_shift_skews,
            settings.link_mbps,
        )
        self._beliefs.on_load_change = self._exchange.notify_load_change
        self._steward = MapController(
            self._beliefs,
            PlatformRankControl(self._beliefs.upstreams, settings.link_mbps),
            self._exchange,
            rng,
            self._share_slowness,
        )
        relay = Relay(
            self._beliefs,
            PlatformHeaders(),
            RequestLog(self._beliefs, self._metrics),
            rng,
        )
        self._callers = Http1Server(
            relay.handle, self._beliefs.limits, settings.max_sockets * 6 // 10
        )

    def is_serving(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self._stopping_since_ms is None
            and self._beliefs.routing_table is not None
            and not self._beliefs.is_configuration_stale()
            and len(self._beliefs.upstreams) > 0
        )

    async def run(self) -> None:
        """Serve until a stop is requested and carried out."""
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
            nursery.start_soon(self._tidy)
            nursery.start_soon(self._steward.run)
            await self._start_server(nursery, self._callers, settings.callers_address)
            for address, handler in (
                (settings.ready_address, self._answer_ready),
                (settings.directory_address, self._answer_directory),
                (f"{settings.ip}:{self._metrics_port}", self._answer_metrics),
            ):
                server = Http1Server(handler, CallerLimits, settings.max_sockets // 10)
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
        return Backoff(self._retry_budget, self._rng, max_pause_ms=1_000.0)

    def _count_hosts(self) -> int:
        return 1 + len(self._exchange.live())

    def _state_to_tell(self) -> HostState:
        return HostState(
            self._beliefs.upstreams.own_loads(),
            self._steward.slowness(),
            self._beliefs.slowed_services(),
            self._steward.post_shift_skews(),
        )

    def _share_slowness(self) -> None:
        self._beliefs.upstreams.update_slowness(self._exchange.slowness())
        self._exchange.notify_load_change()

    def _take_configurations(self, objects: dict[str, Any]) -> None:
        configuration = objects.get(CONFIGURATION_NAME)
        if configuration is not None:
            self._beliefs.apply_configuration(configuration)

    def _take_configuration(self, change: FeedChange) -> None:
        if change.name == CONFIGURATION_NAME and change.value is not None:
            self._beliefs.apply_configuration(change.value)

    def _missing_until_ms(self) -> float | None:
        """Return until when entries that are missing now may return."""
        if not self._registry.is_recovering:
            return None
        return now_ms() + DRAIN_FRACTION * self._settings.drain_ms

    def _take_upstreams(self, objects: dict[str, Any]) -> None:
        self._beliefs.upstreams.replace_all(objects.values(), self._missing_until_ms())

    def _take_upstream(self, change: FeedChange) -> None:
        upstreams = self._beliefs.upstreams
        if change.value is None:
            upstreams.remove(change.name, self._missing_until_ms())
        else:
            upstreams.put(change.value)

    async def _register(self) -> None:
        """Name this host in the store, then learn of those that did so before.

        Of two hosts that start at once, the one whose write came later finds the
        other's entry, and its beats make it known there.
        """
        settings = self._settings
        spec = {"ip": settings.ip, "port": settings.exchange_port}
        feed = StoreFeed(self._store, HOSTS_KIND, lambda _, spec: spec)
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
                log.warning("hosts.unregistered", reason=str(error))
                await backoff.wait()
        endpoints = {
            (entry["ip"], entry["port"])
            for entry in listing.objects.values()
            if isinstance(entry, dict) and entry.get("ip") != settings.ip
        }
        self._exchange.add_endpoints(endpoints)
        log.info("hosts.registered", n_others=len(endpoints))
        await self._exchange.send_heartbeat()

    async def _tidy(self) -> None:
        while True:
            await trio.sleep(1.0)
            await self._beliefs.upstreams.close_removed()

    async def _answer_ready(self, exchange: Exchange) -> None:
        await exchange.respond(200 if self.is_serving() else 503, [], b"")

    async def _answer_directory(self, exchange: Exchange) -> None:
        addresses = self._exchange.serving_addresses()
        await answer_lookup(exchange, addresses)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        await exchange.respond(
            200,
            [(b"Content-Type", b"text/plain; version=0.0.4")],
            self._metrics.render(),
        )

    async def _watch_signals(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                elif self._stopping_since_ms is None:
                    self._stopping_since_ms = now_ms()
                    log.info("process.stopping", n_requests=self._callers.n_in_progress)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._exchange.send_heartbeat)
                        nursery.start_soon(self._stop, scope)

    async def _stop(self, scope: trio.CancelScope) -> None:
        """End once the requests in progress have ended, in the time there is."""
        since_ms = now_ms()
        last_ms = self._settings.shutdown_ms - SHUTDOWN_RESERVE_MS
        await trio.sleep(MIN_SHUTDOWN_MS / 1000)
        self._callers.close_idle()
        while now_ms() - since_ms < last_ms and self._callers.n_in_progress:
            self._beliefs.is_stopping = now_ms() - since_ms > LAST_ACCEPT_MS
            await trio.sleep(SHUTDOWN_POLL_S)
        scope.cancel()

    def _reload(self) -> None:
        try:
            self._settings = read_platform_settings(self._settings_path)
        except FindingsError as error:
            log.error("settings.invalid", findings=str(error))
            return
        log.info("settings.reloaded")
