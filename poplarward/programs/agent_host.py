"""Assembles the components of an agent, starts them and stops them in order."""

from __future__ import annotations

import trio
from prometheus_client import REGISTRY, generate_latest

from ..coordination import ConfigurationSync, FenceSync, LocalMember, map_role
from ..coordination.expert_maps import HttpEngineControl, MapParticipant
from ..coordination.group_agents import query_group_agents
from ..coordination.roles import slot_of
from ..protocol import Peers, ProcessIdentity
from ..protocol.identity import new_start_id
from ..protocol.reports import UpstreamKind, UpstreamState
from ..requests import Executor, UpstreamSettings
from ..requests.in_flight import InFlightAttempt
from ..requests.kv_admission import HEADROOM_SHARE
from ..requests.payments import IdempotencyGuard
from ..state import ConfigurationView, HttpObjectStore, drained_hosts
from ..telemetry import AgentLoadSample, AgentMetrics, get_logger
from ..transport import Address, HttpClient, asgi_application, serve_http
from .monitoring import Monitoring
from .settings import (
    AgentSettings,
    peers_network,
    platform_access,
    tls_files,
    upstream_access,
)
from .startup import watch_signals

__all__ = ["AgentHost"]

N_ENGINE_CONNECTIONS = 8
STOP_WAIT_MS = 20_000.0

log = get_logger("agent")


class AgentHost:
    """The agent of one upstream host.

    Parameters
    ----------
    settings : AgentSettings
        Checked settings of the program.
    """

    def __init__(self, settings: AgentSettings):
        self._settings = settings
        self._stop_requested = trio.Event()
        identity = ProcessIdentity(
            role="agent",
            name=settings["name"],
            start_id=new_start_id(),
            address=Address.parse(settings["peers_listen"]),
            data_centre=settings["data_centre"],
        )
        section = settings["upstream"]
        self.upstream = UpstreamSettings(
            UpstreamKind(section["kind"]),
            section["name"],
            section["url"],
            section["n_slots"],
            upstream_access(section),
            section.get("kv_limit_tokens", 0),
            section.get("kv_headroom_share", HEADROOM_SHARE),
        )
        self.peers = Peers(peers_network(settings), identity, settings["peer_secret"])
        self.store = HttpObjectStore(
            settings["platform_url"], platform_access(settings)
        )
        self.view = ConfigurationView()
        self.configuration = ConfigurationSync(self.peers, self.store, self.view)
        self.presence = LocalMember(self.peers)
        self.executor = self._make_executor(identity)
        self.fences: FenceSync | None = None
        self.maps: MapParticipant | None = None
        if self.upstream.kind is UpstreamKind.ENGINE:
            self._make_map_participant(section.get("ranks", []))
        self.metrics = AgentMetrics(self._sample_load)
        self.executor.on_attempt_ended.append(self._record_run)
        self.monitoring = Monitoring(
            lambda: generate_latest(REGISTRY) + self.metrics.render(),
            self.unmet_conditions,
        )

    def _make_executor(self, identity: ProcessIdentity) -> Executor:
        payments = None
        if self.upstream.kind is UpstreamKind.PLAIN:
            payments = IdempotencyGuard(
                self.store, identity, self.upstream.name, identity.start_id
            )
        return Executor(
            self.peers, self.upstream, payments=payments, standing=self.host_state
        )

    def _make_map_participant(self, ranks: list[int]) -> None:
        group = self.upstream.name

        async def query_agents() -> list[Address] | None:
            return await query_group_agents(self.peers, group)

        lease = slot_of(map_role(group))
        self.fences = FenceSync(self.peers, self.store, group, lease, query_agents)
        client = HttpClient(
            self.upstream.url,
            N_ENGINE_CONNECTIONS,
            self.upstream.access,
            keeps_connections=False,
        )
        engine = HttpEngineControl(client)
        self.maps = MapParticipant(self.peers, group, engine, self.fences, ranks)

    def _sample_load(self) -> AgentLoadSample:
        load = self.executor.read_load()
        takes_work = load.state is UpstreamState.LIVE
        return AgentLoadSample(load.n_running, load.n_waiting, load.n_slots, takes_work)

    def _record_run(self, attempt: InFlightAttempt) -> None:
        submit = attempt.submit
        self.metrics.observe(
            submit.workspace,
            submit.priority_class,
            wait_ms=1000 * (attempt.started_at - attempt.arrived_at),
            run_ms=1000 * (trio.current_time() - attempt.started_at),
            n_pieces=attempt.n_pieces - submit.n_pieces_received,
        )

    async def run(self) -> None:
        """Serve until a stop signal, then drain the requests in flight and end."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            log.info(
                "agent.started",
                name=self._settings["name"],
                upstream=self.upstream.name,
            )
            nursery.start_soon(
                watch_signals, self._stop_requested, lambda: self.executor.n_attempts
            )
            await self._stop_requested.wait()
            await self._close()
            nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        await self.executor.start(nursery)
        if self.fences and self.maps and "ranks" in self._settings["upstream"]:
            await self.fences.start(nursery)
            await self.maps.start(nursery)
        await self.peers.start(nursery)
        await self.configuration.start(nursery)
        await nursery.start(
            serve_http,
            asgi_application(self.monitoring.handle),
            Address.parse(self._settings["metrics_listen"]),
            tls_files(self._settings, "metrics_tls"),
        )

    async def _close(self) -> None:
        """Announce the stop, drain attempts in flight, then close the connections."""
        self.presence.leave()
        await self.executor.drain(self._settings.get("stop_wait_ms", STOP_WAIT_MS))
        await self.peers.close()
        await self.executor.close()

    def host_state(self) -> UpstreamState:
        """Return the state of this host; only a live host takes new work.

        An agent without a configuration can't know whether its host is drained, so it
        reports itself as down.
        """
        if self.presence.is_leaving or self._settings["name"] in drained_hosts(
            self.view
        ):
            return UpstreamState.LEAVING
        is_ready = self.configuration.ready.is_set()
        return UpstreamState.LIVE if is_ready else UpstreamState.DOWN

    def unmet_conditions(self) -> list[str]:
        """Return the reasons why the agent takes no work, as texts."""
        conditions = []
        if self.executor.state is not UpstreamState.LIVE:
            conditions.append(f"the agent is {self.executor.state}")
        if not self.configuration.ready.is_set():
            conditions.append("no configuration is in force yet")
        return conditions
