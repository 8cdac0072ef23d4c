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

from .agent_host import AgentHost
from .settings import AgentSettings
from .startup import load_settings

__all__ = ["main"]


def main() -> None:
    """Run an agent with the settings named on the command line."""
    settings = load_settings(__doc__, "poplarward-agent", AgentSettings)
    if settings is not None:
        trio.run(AgentHost(settings).run)


if __name__ == "__main__":
    main()
