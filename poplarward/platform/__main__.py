"""Poplarward on the users' platform.

``poplarward-platform`` stands for ``python3 -m poplarward.platform``.

Usage:
  poplarward-platform entry [--check] [--settings FILE] [--log-level LEVEL]
                            [--metrics-port PORT]
  poplarward-platform (-h | --help)
  poplarward-platform --version

Options:
  --check            Check the settings and start nothing.
  --settings FILE    Settings file; without it, the one that POPLARWARD_NODE_FILE names.
  --log-level LEVEL  Lowest level that is logged [default: info].
  --metrics-port PORT  Where metrics are served [default: 9464].
  -h --help          Show this text.
  --version          Show the version.

Exit status:
  0  The process was stopped, or the settings are valid.
  2  The settings are not valid; every finding was printed.
"""

from __future__ import annotations

import os
import random
import sys

import trio
from docopt import docopt

from .. import __version__
from ..errors import FindingsError
from ..telemetry.line_writer import LineWriter
from ..telemetry.logs import configure_logs
from .entry_role import EntryRole
from .settings import read_platform_settings

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "POPLARWARD_NODE_FILE"


def main(argv: list[str] | None = None) -> int:
    """Run the role named on the command line; returns the exit status."""
    arguments = docopt(__doc__, argv, version=__version__)
    path = arguments["--settings"] or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_platform_settings(path)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments["--check"]:
        print("settings are valid")
        return 0
    writer = LineWriter(sys.stdout.fileno())
    configure_logs("entry", arguments["--log-level"], writer)
    metrics_port = int(arguments["--metrics-port"])
    trio.run(EntryRole(settings, path, metrics_port, random.Random()).run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
