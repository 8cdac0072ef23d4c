"""Stand-ins of the systems outside Poplarward, for tests and the demonstration.

Usage:
  poplarward-standin platform --listen ADDRESS [--host-list-lag-ms MS]
  poplarward-standin engine --listen ADDRESS [--step-ms MS] [--slots N]
                            [--crash-marker TEXT]
  poplarward-standin ranks --listen ADDRESS --hosts N [--step-ms MS] [--ignore-fence]
  poplarward-standin ledger --listen ADDRESS [--work-ms MS]
  poplarward-standin (-h | --help)
  poplarward-standin --version

Options:
  --listen ADDRESS       IP number and port to listen on.
  --host-list-lag-ms MS  Time a change of the host list takes to show [default: 500].
  --step-ms MS           Time of one step of the engine [default: 10].
  --slots N              Requests that the engine runs at once [default: 32].
  --crash-marker TEXT    Text in a prompt that kills the engine's process.
  --hosts N              Hosts of the rank group, on ports from that of ADDRESS on.
  --ignore-fence         Carry out orders with an old fencing number too.
  --work-ms MS           Time that a call of the ledger takes [default: 2].
  -h --help              Show this text.
  --version              Show the version.
"""

from __future__ import annotations

import os
import signal
from typing import Any

import trio
from docopt import docopt

from .. import __version__
from ..telemetry import configure_logs, get_logger
from ..transport import Address, asgi_application, serve_http
from .engine import EngineStandin, EngineTiming
from .expert_paths import ExpertEndpoints, new_rank_group
from .ledger import LedgerStandin
from .object_store import MemoryObjectStore
from .platform import PlatformStandin

__all__ = ["main"]


def main() -> None:
    """Run the stand-in named on the command line until SIGTERM or SIGINT."""
    arguments = docopt(__doc__, version=__version__)
    configure_logs("poplarward-standin")
    trio.run(_run, arguments)


async def _run(arguments: dict[str, Any]) -> None:
    log = get_logger("standin")
    async with trio.open_nursery() as nursery:
        address = Address.parse(arguments["--listen"])
        if arguments["ranks"]:
            handler = await _start_ranks(arguments, nursery, address)
        else:
            handler = _handler(arguments, nursery)
        bound = await nursery.start(serve_http, asgi_application(handler), address)
        log.info("standin.started", address=str(bound))
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        nursery.cancel_scope.cancel()


async def _start_ranks(
    arguments: dict[str, Any], nursery: trio.Nursery, address: Address
) -> Any:
    """Serve the hosts of a rank group; returns the handler of the first."""
    n_hosts, step_ms = int(arguments["--hosts"]), float(arguments["--step-ms"])
    group = new_rank_group(n_hosts, step_ms, not arguments["--ignore-fence"])
    completions = EngineStandin(EngineTiming(step_ms))
    nursery.start_soon(group.run)
    nursery.start_soon(completions.run)
    paths = [ExpertEndpoints(group, engine, completions) for engine in group.engines]
    for index, host in enumerate(paths[1:], start=1):
        bound = Address(address.host, address.port + index)
        await nursery.start(serve_http, asgi_application(host.handle), bound)
    return paths[0].handle


def _kill_process() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def _handler(arguments: dict[str, Any], nursery: trio.Nursery) -> Any:
    if arguments["platform"]:
        lag_ms = float(arguments["--host-list-lag-ms"])
        return PlatformStandin(MemoryObjectStore(), lag_ms).handle
    if arguments["engine"]:
        timing = EngineTiming(float(arguments["--step-ms"]), int(arguments["--slots"]))
        marker = arguments["--crash-marker"]
        engine = EngineStandin(timing, marker or "", _kill_process if marker else None)
        nursery.start_soon(engine.run)
        return engine.handle
    return LedgerStandin(float(arguments["--work-ms"])).handle


if __name__ == "__main__":
    main()
