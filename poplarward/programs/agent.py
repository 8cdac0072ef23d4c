"""Agent of a Poplarward deployment, one on each upstream host.

The only way in to its upstream: it admits, runs, bars and reports requests.

Usage:
  poplarward-agent [--check] SETTINGS
  poplarward-agent (-h | --help)
  poplarward-agent --version

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
from prometheus_client import REGISTRY, generate_latest

from ..coordination import ConfigurationSync, FenceKeeper, Presence, map_role
from ..coordination.expert_maps import HttpEngineControl, MapKeeper
from ..coordination.roles import slot_of
from ..protocol import Peers, ProcessIdentity
from ..protocol.identity import new_start_id
from ..protocol.reports import UpstreamKind, UpstreamState
from ..requests import Executor, UpstreamSettings
from ..requests.payments import Payments
from ..state import ConfigurationView, HttpObjectStore, drained_hosts
from ..telemetry import get_logger
from ..transport import Address, HttpClient, asgi_application, serve_http
from .monitoring import Monitoring
from .settings import AgentSettings, peers_network, tls_files
from .startup import load, watch_signals

__all__ = ["main"]

log = get_logger("agent")


def main() -> None:
    """Run the program named on the command line."""
    settings = load(__doc__, "poplarward-agent", AgentSettings)
    if settings is not None:
        trio.run(_run, settings)


async def _run(settings: AgentSettings) -> None:
    identity = ProcessIdentity(
        role="agent",
        name=settings["name"],
        start_id=new_start_id(),
        address=Address.parse(settings["peers_listen"]),
        data_centre=settings["data_centre"],
    )
    section = settings["upstream"]
    upstream = UpstreamSettings(
        UpstreamKind(section["kind"]),
        section["name"],
        section["url"],
        section["n_slots"],
    )
    peers = Peers(peers_network(settings), identity, settings["peer_secret"])
    store = HttpObjectStore(settings["platform_url"])
    view = ConfigurationView()
    configuration = ConfigurationSync(peers, store, view)
    payments = None
    if upstream.kind is UpstreamKind.PLAIN:
        payments = Payments(store, identity, upstream.name, identity.start_id)
    executor = Executor(
        peers,
        upstream,
        payments=payments,
        is_stopping=lambda: identity.name in drained_hosts(view),
    )
    if upstream.kind is UpstreamKind.ENGINE:
        lease = slot_of(map_role(upstream.name))
        fences = FenceKeeper(peers, store, upstream.name, lease, lambda: None)
        engine = HttpEngineControl(HttpClient(upstream.url, n_connections=8))
        ranks = section.get("ranks", [])
        keeper = MapKeeper(peers, upstream.name, engine, fences, ranks)
    presence = Presence(peers)
    monitoring = Monitoring(
        lambda: generate_latest(REGISTRY), lambda: _missing(executor, configuration)
    )
    async with trio.open_nursery() as nursery:
        await executor.start(nursery)
        if "ranks" in section and upstream.kind is UpstreamKind.ENGINE:
            await fences.start(nursery)
            await keeper.start(nursery)
        await peers.start(nursery)
        await configuration.start(nursery)
        await nursery.start(
            serve_http,
            asgi_application(monitoring.handle),
            Address.parse(settings["metrics_listen"]),
            tls_files(settings, "metrics_tls"),
        )
        log.info("agent.started", name=settings["name"], upstream=upstream.name)
        stop_requested = trio.Event()
        nursery.start_soon(watch_signals, stop_requested, lambda: executor.n_attempts)
        await stop_requested.wait()
        presence.leave()
        await executor.drain()
        await peers.close()
        await executor.close()
        nursery.cancel_scope.cancel()


def _missing(executor: Executor, configuration: ConfigurationSync) -> list[str]:
    """Return what keeps the agent from taking work."""
    missing = []
    if executor.state is not UpstreamState.LIVE:
        missing.append(f"the agent is {executor.state}")
    if not configuration.ready.is_set():
        missing.append("no configuration is in force yet")
    return missing


if __name__ == "__main__":
    main()
