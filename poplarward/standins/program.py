"""Stand-ins of the systems outside Poplarward, for tests and the demonstration.

Usage:
  poplarward-standin platform --listen ADDRESS [--host-list-lag-ms MS]
  poplarward-standin engine --listen ADDRESS [--step-ms MS] [--slots N]
  poplarward-standin ledger --listen ADDRESS [--work-ms MS]
  poplarward-standin (-h | --help)
  poplarward-standin --version

Options:
  --listen ADDRESS       IP number and port to listen on.
  --host-list-lag-ms MS  Time a change of the host list takes to show [default: 500].
  --step-ms MS           Time of one step of the engine [default: 10].
  --slots N              Requests that the engine runs at once [default: 32].
  --work-ms MS           Time that a call of the ledger takes [default: 2].
  -h --help              Show this text.
  --version              Show the version.
"""

from __future__ import annotations

import signal
from typing import Any

import trio
from docopt import docopt

from .. import __version__
from ..telemetry import configure_logs, get_logger
from ..transport import Address, asgi_application, serve_http
from .engine import EngineStandin, EngineTiming
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
        handler = _handler(arguments, nursery)
        address = Address.parse(arguments["--listen"])
        bound = await nursery.start(serve_http, asgi_application(handler), address)
        log.info("standin.started", address=str(bound))
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        nursery.cancel_scope.cancel()


def _handler(arguments: dict[str, Any], nursery: trio.Nursery) -> Any:
    if arguments["platform"]:
        lag_ms = float(arguments["--host-list-lag-ms"])
        return PlatformStandin(MemoryObjectStore(), lag_ms).handle
    if arguments["engine"]:
        timing = EngineTiming(float(arguments["--step-ms"]), int(arguments["--slots"]))
        engine = EngineStandin(timing)
        nursery.start_soon(engine.run)
        return engine.handle
    return LedgerStandin(float(arguments["--work-ms"])).handle


if __name__ == "__main__":
    main()
