"""Command line and signal handling that the programs share."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import trio
from docopt import docopt

from .. import __version__
from ..errors import FindingsError
from ..telemetry import configure_logs, get_logger
from .settings import read_settings

__all__ = ["EXIT_BAD_SETTINGS", "load_settings", "watch_signals"]

EXIT_BAD_SETTINGS = 2

_Settings = TypeVar("_Settings")


def load_settings(
    usage: str, program: str, schema: type[_Settings]
) -> _Settings | None:
    """Read the command line and the settings it names.

    Returns None if the settings were only to be checked. Prints every finding and
    exits with `EXIT_BAD_SETTINGS` if there are any.
    """
    arguments: dict[str, Any] = docopt(usage, version=__version__)
    try:
        settings = read_settings(arguments["SETTINGS"], schema)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if arguments["--check"]:
        print("settings are valid")
        return None
    configure_logs(program, settings.get("log_level", "info"))  # type: ignore[attr-defined]
    return settings


async def watch_signals(
    stop_requested: trio.Event, n_in_progress: Callable[[], int]
) -> None:
    """Set the event at the first SIGTERM or SIGINT.

    A later signal only logs how many requests an immediate end would interrupt, so
    that an operator can decide whether to send SIGKILL.
    """
    log = get_logger("stop")
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            name = signal.Signals(number).name
            if stop_requested.is_set():
                log.warning("stop.would_cut", signal=name, n_requests=n_in_progress())
            else:
                log.info("stop.requested", signal=name, n_requests=n_in_progress())
                stop_requested.set()
