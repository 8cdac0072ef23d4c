"""Assembles the components of an entry host, starts them and stops them in order."""

from __future__ import annotations

import trio

from ..coordination import (
    ConfigurationSync,
    ControlRoles,
    HostList,
    LeaseTiming,
    LocalMember,
    Member,
    Membership,
    map_role,
)
from ..coordination.expert_maps import GroupHost
from ..coordination.group_agents import register_group_agents
from ..coordination.group_controllers import GroupControllers
from ..operations import (
    DeploymentStatus,
    OperationsService,
    operations_application,
)
from ..protocol import Peers, ProcessIdentity
from ..protocol.identity import new_start_id
from ..requests import (
    Admission,
    AgentConnections,
    AgentTable,
    AttemptLoop,
    ConfigurationIndex,
    Gateway,
    Relay,
    Router,
    WorkspaceLimits,
    choose_addresses,
)
from ..requests.gateway import ADDRESS_KEEP_MS
from ..state import ConfigurationView, HttpObjectStore, Writer, drained_hosts
from ..telemetry import GroupMetrics, RequestMetrics, get_logger
from ..transport import Address, asgi_application, serve_http
from .monitoring import Monitoring
from .settings import EntrySettings, peers_network, platform_access, tls_files
from .startup import watch_signals

__all__ = ["EntryHost"]

LEASE_LENGTH_MS = 6000.0
RELEASE_TIMEOUT_S = 2.0

log = get_logger("entry")


class EntryHost:
    """One entry host of a deployment.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings of the program.
    """

    def __init__(self, settings: EntrySettings):
        self._settings = settings
        self._address_keep_ms = settings.get("address_keep_ms", ADDRESS_KEEP_MS)
        self._stop_requested = trio.Event()
        self._close_callers = trio.Event()
        self._callers_served = trio.Event()
        self._member_changed = trio.Event()
        self.metrics = RequestMetrics()
        self._make_coordination()
        self._make_requests()
        self._make_operations()

    def _make_coordination(self) -> None:
        settings = self._settings
        identity = ProcessIdentity(
            role="entry",
            name=settings["name"],
            start_id=new_start_id(),
            address=Address.parse(settings["peers_listen"]),
            data_centre=settings["data_centre"],
        )
        access = platform_access(settings)
        self.store = HttpObjectStore(settings["platform_url"], access)
        self.writer = Writer(self.store, identity.start_id)
        self.hosts = HostList(settings["platform_url"], access)
        self.view = ConfigurationView()
        self.peers = Peers(peers_network(settings), identity, settings["peer_secret"])
        presence = LocalMember(self.peers, settings["callers_listen"])
        self.membership = Membership(
            self.peers,
            presence,
            self.hosts.listed_hosts,
            seed=identity.start_id,
            n_list_reads=lambda: self.hosts.n_reads,
        )
        self.membership.on_change.append(self._on_member_change)
        register_group_agents(self.peers, self.hosts.listed_hosts)
        self.roles = ControlRoles(
            self.store,
            self.writer,
            identity,
            lambda: [member.identity.name for member in self.membership.live("entry")],
            lambda: [map_role(name) for name, _ in self.view.specs("modelgroups")],
            LeaseTiming.of_length(settings.get("lease_length_ms", LEASE_LENGTH_MS)),
        )
        self.configuration = ConfigurationSync(
            self.peers, self.store, self.view, self.membership
        )
        self.groups = GroupControllers(
            self.peers,
            self.store,
            self.writer,
            self.view,
            self.roles,
            self._group_hosts,
            GroupMetrics(self.metrics.registry),
        )

    def _make_requests(self) -> None:
        agents = AgentTable(self.peers)
        index = ConfigurationIndex(self.view)
        router = Router(
            agents,
            leaving=self._excluded_agents,
            pools=index.pools,
            data_centre=self._settings["data_centre"],
            far_cost_requests=self._settings.get("far_cost_requests", 0.0),
        )
        self.connections = AgentConnections(
            self.peers, agents, lambda: self.hosts.hosts.values(), index.pools
        )
        self.limits = WorkspaceLimits(
            self.peers,
            self.view,
            lambda: [member.identity for member in self.membership.live("entry")],
        )
        self.attempts = AttemptLoop(self.peers, Relay(self.peers), router)
        self.gateway = Gateway(
            index,
            Admission(limits=self.limits),
            self.attempts,
            self._advertised_addresses,
            self.metrics,
            self._address_keep_ms,
        )

    def _make_operations(self) -> None:
        status = DeploymentStatus(
            self.peers,
            self.configuration,
            self.view,
            self.membership,
            self.store,
            rebalancing=self.groups,
        )
        self.operations = OperationsService(self.store, self.view, status, self.groups)
        self.monitoring = Monitoring(self.metrics.render, self.unmet_conditions)

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in flight and end."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            log.info(
                "entry.started",
                name=self._settings["name"],
                revision=self.view.revision,
            )
            nursery.start_soon(
                watch_signals, self._stop_requested, lambda: self.gateway.n_open
            )
            await self._stop_requested.wait()
            await self._close()
            nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        await self.peers.start(nursery)
        await self.hosts.start(nursery)
        await self.membership.start(nursery)
        await self.configuration.start(nursery)
        await self.roles.start(nursery)
        await self.limits.start(nursery)
        await self.attempts.start(nursery)
        nursery.start_soon(self.connections.run)
        nursery.start_soon(self._disconnect_failed_agents)
        if "metrics_listen" in self._settings:
            await self._listen(nursery, self.monitoring.handle, "metrics")
        await self.configuration.ready.wait()
        await self.groups.start(nursery)
        await nursery.start(self._serve_callers)
        await nursery.start(
            serve_http,
            operations_application(self.operations, self._settings["operator_tokens"]),
            Address.parse(self._settings["operators_listen"]),
            tls_files(self._settings, "operators_tls"),
        )

    async def _listen(self, nursery: trio.Nursery, handler, name: str) -> None:
        await nursery.start(
            serve_http,
            asgi_application(handler),
            Address.parse(self._settings[f"{name}_listen"]),
            tls_files(self._settings, f"{name}_tls"),
        )

    async def _serve_callers(self, task_status: trio.TaskStatus[Address]) -> None:
        await serve_http(
            asgi_application(self.gateway.handle),
            Address.parse(self._settings["callers_listen"]),
            tls_files(self._settings, "callers_tls"),
            stop=self._close_callers.wait,
            task_status=task_status,
        )
        self._callers_served.set()

    async def _close(self) -> None:
        """Release the control roles, stop accepting callers, then finish requests."""
        await self.groups.close()
        await self.membership.close()
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            await self.roles.close()
        # Callers may use an address that they were given for this long.
        await trio.sleep(self._address_keep_ms / 1000)
        self._close_callers.set()
        log.info("stop.not_accepting", n_requests=self.gateway.n_open)
        await self._callers_served.wait()
        await self.peers.close()

    def unmet_conditions(self) -> list[str]:
        """Return the reasons why the entry host does not serve, as texts."""
        conditions = []
        if not self.configuration.ready.is_set():
            conditions.append("no configuration is in force yet")
        if self.hosts.with_role("agent") and not self.peers.n_links:
            conditions.append("no agent is connected")
        if self._stop_requested.is_set():
            conditions.append("the host is leaving")
        return conditions

    def _on_member_change(self) -> None:
        self._member_changed.set()

    async def _disconnect_failed_agents(self) -> None:
        """Close connections to failed agents, so that no request waits."""
        disconnected: set[str] = set()
        while True:
            await self._member_changed.wait()
            self._member_changed = trio.Event()
            failed = self.membership.gone("agent")
            for name in failed - disconnected:
                await self.peers.disconnect(name)
            disconnected = failed

    def _excluded_agents(self) -> set[str]:
        return self.membership.not_live("agent") | drained_hosts(self.view)

    def _advertised_addresses(self, caller_host: str) -> list[str]:
        drained = drained_hosts(self.view)
        members: list[Member] = [
            member
            for member in self.membership.live("entry")
            if member.identity.name not in drained
        ]
        return choose_addresses(members, self._settings["data_centre"], caller_host)

    def _group_hosts(self, group: str) -> list[GroupHost]:
        """Return the listed hosts of a group, including those that are draining."""
        return [
            GroupHost(host.name, host.peers)
            for host in self.hosts.with_role("agent")
            if host.upstream == group
        ]
