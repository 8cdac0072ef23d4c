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

from .entry_host import EntryHost
from .settings import EntrySettings
from .startup import load_settings

__all__ = ["main"]


def main() -> None:
    """Run an entry host with the settings named on the command line."""
    settings = load_settings(__doc__, "poplarward-entry", EntrySettings)
    if settings is not None:
        trio.run(EntryHost(settings).run)


if __name__ == "__main__":
    main()
