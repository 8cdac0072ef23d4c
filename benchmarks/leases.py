"""Measures the takeover time of leases and the store calls that they need.

Usage:
  leases [--json] [--seed N]

Options:
  --json    Print one JSON document (the only form).
  --seed N  Seed of every random choice [default: 1].

Everything runs in virtual time against the stand-in of the store, so the figures are
the same on every run with one seed, except for processor time.
"""

from __future__ import annotations

import json
import random
import time
from functools import partial
from typing import Any

import trio
from docopt import docopt
from trio.testing import MockClock

from poplarward.coordination.leases import Lease, LeaseCandidate
from poplarward.coordination.roles import ControlRoles
from poplarward.protocol import ProcessIdentity
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state import RetryBudget, Writer
from poplarward.telemetry import configure_logs
from poplarward.transport import Address

N_FAILURES = 100
SIZES = [(13, 4), (64, 312), (250, 312), (1000, 312)]
SETTLE_S = 20
MEASURED_S = 60
TARGET_WRITES_PER_S = 400
TARGET_READS_PER_S = 2000


class _PartitionableStore:
    """The store as seen by a host, which can be partitioned from it or frozen."""

    def __init__(self, store: MemoryObjectStore):
        self._store = store
        self.reachable = trio.Event()
        self.reachable.set()

    async def get(self, *arguments: Any) -> Any:
        await self.reachable.wait()
        return await self._store.get(*arguments)

    async def put(self, *arguments: Any) -> Any:
        await self.reachable.wait()
        return await self._store.put(*arguments)


async def _takeover_ms(seed: int, planned: bool) -> float:
    """Return the time from a holder's failure until another has acquired the lease."""
    rng = random.Random(seed)
    store = MemoryObjectStore(seed=seed)
    stores = [_PartitionableStore(store), _PartitionableStore(store)]
    ranks = [0, 1]
    leases = [
        Lease(
            stores[i],
            "slot-0",
            f"entry-{i}:1",
            writer=Writer(stores[i], i, RetryBudget()),
            candidate=LeaseCandidate(partial(ranks.__getitem__, i)),
        )
        for i in range(2)
    ]
    async with trio.open_nursery() as nursery:
        for lease in leases:
            await lease.start(nursery)
            await trio.sleep(rng.uniform(0.01, 2))
        await trio.sleep(rng.uniform(10, 20))
        failed_at = trio.current_time()
        if planned:
            nursery.start_soon(leases[0].close)
        else:
            stores[0].reachable = trio.Event()
        ranks[1] = 0
        while leases[1].fence is None:
            await trio.sleep(0.005)
        took_ms = (trio.current_time() - failed_at) * 1000
        nursery.cancel_scope.cancel()
    return took_ms


def _percentiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50": round(ordered[len(ordered) // 2]),
        "p99": round(ordered[int(len(ordered) * 0.99)]),
        "max": round(ordered[-1]),
    }


async def _measure_store_calls(n_entries: int, n_groups: int) -> dict[str, Any]:
    """Return the store calls per second of a whole fleet in the steady state."""
    store = MemoryObjectStore()
    names = [f"entry-{i}" for i in range(n_entries)]
    roles = [f"map/group-{i}" for i in range(n_groups)]
    hosts = []
    async with trio.open_nursery() as nursery:
        for i, name in enumerate(names):
            identity = ProcessIdentity("entry", name, i, Address("10.0.0.1", 1), "r")
            host = ControlRoles(
                store, Writer(store, i), identity, lambda: names, lambda: roles
            )
            await host.start(nursery)
            hosts.append(host)
        await trio.sleep(SETTLE_S)
        writes, reads = store.counts.n_writes, store.counts.n_reads
        cpu_s = time.process_time()
        await trio.sleep(MEASURED_S)
        cpu_s = time.process_time() - cpu_s
        n_held_slots = [len(host.held_slots()) for host in hosts]
        nursery.cancel_scope.cancel()
    return {
        "entries": n_entries,
        "groups": n_groups,
        "writes_per_s": round((store.counts.n_writes - writes) / MEASURED_S, 1),
        "reads_per_s": round((store.counts.n_reads - reads) / MEASURED_S, 1),
        "slots_held": sum(n_held_slots),
        "most_slots_on_a_host": max(n_held_slots),
        "cpu_us_per_s_and_host": round(cpu_s / MEASURED_S / n_entries * 1e6),
    }


def main() -> None:
    """Run the benchmark."""
    seed = int(docopt(__doc__)["--seed"])
    configure_logs("leases", "error")
    takeover = {}
    for name, planned in (("lost", False), ("planned stop", True)):
        runs = [
            trio.run(_takeover_ms, seed * 1000 + i, planned, clock=_virtual_clock())
            for i in range(N_FAILURES)
        ]
        takeover[name] = _percentiles(runs)
    calls = [
        trio.run(_measure_store_calls, *size, clock=_virtual_clock()) for size in SIZES
    ]
    document = {
        "seed": seed,
        "takeover_ms": takeover,
        "store_calls": calls,
        "target": {
            "writes_per_s": TARGET_WRITES_PER_S,
            "reads_per_s": TARGET_READS_PER_S,
        },
    }
    print(json.dumps(document, indent=1))


def _virtual_clock() -> MockClock:
    return MockClock(autojump_threshold=0)


if __name__ == "__main__":
    main()
