"""Entry host of a Poplarward deployment.

Answers callers and operators, and routes callers' requests to agents.

Usage:
  poplarward-entry [--check] SETTINGS
  poplarward-entry (-h | --help)
  poplarward-entry --version

Options:
  --check    Check the settings and start nothing.
  -h --help  Show this text.
  --version  Show the version.

Exit status:
  0  The program was stopped, or the settings are valid.
  2  The settings are not valid; every finding was printed.
"""

from __future__ import annotations

import trio

from ..coordination import (
    ConfigurationSync,
    ControlRoles,
    HostList,
    LeaseTiming,
    Membership,
    Presence,
    map_role,
)
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
    Gateway,
    Relay,
    Router,
    named_addresses,
)
from ..state import ConfigurationView, HttpObjectStore, Writer
from ..telemetry import RequestMetrics, get_logger
from ..transport import Address, WebSocketNetwork, asgi_application, serve_http
from .monitoring import Monitoring
from .settings import EntrySettings
from .startup import load, wait_for_stop

__all__ = ["main"]

LEASE_LENGTH_MS = 6000.0
RELEASE_TIMEOUT_S = 2.0

log = get_logger("entry")


def main() -> None:
    """Run the program named on the command line."""
    settings = load(__doc__, "poplarward-entry", EntrySettings)
    if settings is not None:
        trio.run(_run, settings)


async def _run(settings: EntrySettings) -> None:
    identity = ProcessIdentity(
        role="entry",
        name=settings["name"],
        start_id=new_start_id(),
        address=Address.parse(settings["peers_listen"]),
        data_centre=settings["data_centre"],
    )
    store = HttpObjectStore(settings["platform_url"])
    hosts = HostList(settings["platform_url"])
    view = ConfigurationView()
    peers = Peers(WebSocketNetwork(), identity, settings["peer_secret"])
    presence = Presence(peers, settings["callers_listen"])
    membership = Membership(peers, presence, hosts.hosts_now, seed=identity.start_id)
    roles = ControlRoles(
        store,
        Writer(store, identity.start_id),
        identity,
        lambda: [member.identity.name for member in membership.live("entry")],
        lambda: [map_role(name) for name, _ in view.specs("modelgroups")],
        LeaseTiming.of_length(settings.get("lease_length_ms", LEASE_LENGTH_MS)),
    )
    configuration = ConfigurationSync(peers, store, view, membership)
    agents = AgentTable(peers)
    relay = Relay(peers)
    router = Router(
        agents,
        leaving=lambda: membership.not_live("agent"),
        data_centre=settings["data_centre"],
        far_cost_requests=settings.get("far_cost_requests", 0.0),
    )
    connections = AgentConnections(peers, agents, lambda: hosts.hosts.values())
    attempts = AttemptLoop(peers, relay, router)
    metrics = RequestMetrics()
    gateway = Gateway(
        view,
        Admission(),
        attempts,
        lambda caller_host: named_addresses(
            membership.live("entry"), settings["data_centre"], caller_host
        ),
        metrics,
    )
    monitoring = Monitoring(
        metrics.render, lambda: _missing(configuration, hosts, peers)
    )
    status = DeploymentStatus(peers, configuration, view, hosts)
    operations = OperationsService(store, view, status)
    async with trio.open_nursery() as nursery:
        await peers.start(nursery)
        await hosts.start(nursery)
        await membership.start(nursery)
        await configuration.start(nursery)
        await roles.start(nursery)
        nursery.start_soon(connections.run)
        if "metrics_listen" in settings:
            await nursery.start(
                serve_http,
                asgi_application(monitoring.handle),
                Address.parse(settings["metrics_listen"]),
            )
        await configuration.ready.wait()
        await nursery.start(
            serve_http,
            asgi_application(gateway.handle),
            Address.parse(settings["callers_listen"]),
        )
        await nursery.start(
            serve_http,
            operations_application(operations, settings["operator_tokens"]),
            Address.parse(settings["operators_listen"]),
        )
        log.info("entry.started", name=settings["name"], revision=view.revision)
        await wait_for_stop(lambda: gateway.n_open)
        await membership.close()
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            await roles.close()
        while gateway.n_open:
            await trio.sleep(0.05)
        await peers.close()
        nursery.cancel_scope.cancel()


def _missing(
    configuration: ConfigurationSync, hosts: HostList, peers: Peers
) -> list[str]:
    """Return what keeps the entry host from serving."""
    missing = []
    if not configuration.ready.is_set():
        missing.append("no configuration is in force yet")
    if hosts.with_role("agent") and not peers.n_links:
        missing.append("no agent is connected")
    return missing


if __name__ == "__main__":
    main()
