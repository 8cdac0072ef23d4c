"""What the programs share: their command line and their end."""

from __future__ import annotations

import signal
import sys
from typing import Any, TypeVar

import trio
from docopt import docopt

from .. import __version__
from ..errors import FindingsError
from ..telemetry import configure_logs, get_logger
from .settings import read_settings

__all__ = ["EXIT_BAD_SETTINGS", "load", "wait_for_stop"]

EXIT_BAD_SETTINGS = 2

_Settings = TypeVar("_Settings")


def load(usage: str, program: str, schema: type[_Settings]) -> _Settings | None:
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


async def wait_for_stop(what_is_cut: Any) -> None:
    """Return at the first SIGTERM or SIGINT; a later one says what it would cut."""
    log = get_logger("stop")
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.info("stop.requested", signal=signal.Signals(number).name)
            return
