"""Measures how entry hosts share workspaces' rate limits, in virtual time.

Usage:
  limits [options]
  limits (-h | --help)

Options:
  --entries E       Entry hosts, in three data centres [default: 12].
  --workspaces W    Workspaces with demand [default: 10].
  --spread K        Entry hosts that each workspace's callers use [default: 4].
  --seconds S       Length of the run [default: 20].
  --seed N          Seed of the arrivals [default: 1].
  --json            Print one JSON document (always so).
  -h --help         Show this text.

Each workspace requests twice its limit of 50 requests/s. The figures vary slightly
between runs with one seed, because trio does not fix the order of tasks that are due at
the same time; ``cpu_us_per_host_s`` also depends on the machine.
"""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from docopt import docopt
from trio.testing import MockClock

from poplarward.errors import Refused
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.caller import CallerRequest
from poplarward.requests.limits import WorkspaceLimits
from poplarward.state import ConfigurationView, Resource
from poplarward.transport import Address, MemoryNetwork

__all__ = ["LIMIT_PER_S", "Site", "running_site"]

LIMIT_PER_S = 50.0
N_DATA_CENTRES = 3


class Site:
    """Entry hosts that share rate limits over an in-memory network."""

    def __init__(self, n_entries: int, n_workspaces: int, seed: int):
        self.network = MemoryNetwork(seed=seed)
        self.rng = random.Random(seed)
        self.view = ConfigurationView()
        self.workspaces = [f"workspace-{i}" for i in range(n_workspaces)]
        spec = {"requests_per_s": LIMIT_PER_S, "tokens_per_s": 1e9}
        for version, name in enumerate(self.workspaces, start=1):
            self.view.apply(Resource("workspaces", name, version, spec))
        self.members = [
            ProcessIdentity(
                "entry",
                f"entry-{i}",
                i + 1,
                Address(f"10.0.{i // 200}.{i % 200 + 1}", 9000),
                f"site-{i % N_DATA_CENTRES}",
            )
            for i in range(n_entries)
        ]
        self.live = list(self.members)
        self.peers: dict[str, Peers] = {}
        self.limits: dict[str, WorkspaceLimits] = {}
        self.admitted: Counter[str] = Counter()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start every entry host."""
        for member in self.members:
            view = self.network.host(member.address.host)
            peers = self.peers[member.name] = Peers(view, member, "s")
            limits = WorkspaceLimits(peers, self.view, lambda: self.live)
            self.limits[member.name] = limits
            await peers.start(nursery)
            await limits.start(nursery)

    async def call(self, workspace: str, entries: list[str], per_s: float) -> None:
        """Send a workspace's requests to the given entry hosts until cancelled."""
        request = CallerRequest(
            workspace, "u", PriorityClass.URGENT, 1, True, "GET", "/", [], b"", ""
        )
        while True:
            await trio.sleep(self.rng.expovariate(per_s))
            try:
                self.limits[self.rng.choice(entries)].check(request)
            except Refused:
                continue
            self.admitted[workspace] += 1


@asynccontextmanager
async def running_site(
    n_entries: int, n_workspaces: int, seed: int
) -> AsyncIterator[tuple[Site, trio.Nursery]]:
    """Run a site for the duration of the ``with`` block."""
    site = Site(n_entries, n_workspaces, seed)
    async with trio.open_nursery() as nursery:
        await site.start(nursery)
        yield site, nursery
        nursery.cancel_scope.cancel()


async def _measure(
    n_entries: int, n_workspaces: int, spread: int, seconds: float, seed: int
) -> dict[str, float]:
    async with running_site(n_entries, n_workspaces, seed) as (site, nursery):
        names = [member.name for member in site.members]
        for workspace in site.workspaces:
            entries = site.rng.sample(names, min(spread, len(names)))
            nursery.start_soon(site.call, workspace, entries, 2 * LIMIT_PER_S)
        await trio.sleep(5)
        site.admitted.clear()
        n_bytes = dict(site.network.n_bytes)
        n_received = dict(site.network.n_bytes_received)
        cpu_started_s = time.process_time()
        await trio.sleep(seconds)
        cpu_us = 1e6 * (time.process_time() - cpu_started_s) / n_entries / seconds
        sent = [
            (site.network.n_bytes[host] - n_bytes[host]) / seconds for host in n_bytes
        ]
        n_received_after = site.network.n_bytes_received
        received = [
            (n_received_after[host] - n) / seconds for host, n in n_received.items()
        ]
        rates = [site.admitted[name] / seconds for name in site.workspaces]
    return {
        "admitted_of_limit_min": round(min(rates) / LIMIT_PER_S, 3),
        "admitted_of_limit_max": round(max(rates) / LIMIT_PER_S, 3),
        "bytes_per_s_mean": round(sum(sent) / len(sent)),
        "bytes_per_s_max": round(max(sent)),
        "bytes_received_per_s_mean": round(sum(received) / len(received)),
        "bytes_received_per_s_max": round(max(received)),
        "cpu_us_per_host_s": round(cpu_us),
    }


def main() -> None:
    """Run the benchmark and print its results."""
    arguments = docopt(__doc__)
    sizes = (int(arguments[f"--{name}"]) for name in ("entries", "workspaces"))
    n_entries, n_workspaces = sizes
    figures = trio.run(
        _measure,
        n_entries,
        n_workspaces,
        int(arguments["--spread"]),
        float(arguments["--seconds"]),
        int(arguments["--seed"]),
        clock=MockClock(autojump_threshold=0),
    )
    document = {"entries": n_entries, "workspaces": n_workspaces, **figures}
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
