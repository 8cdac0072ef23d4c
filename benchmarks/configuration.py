"""Measures how a configuration change propagates until it is applied.

Time is virtual: it includes the delays of the links and the store, but not processor
time, which is measured separately. The seed fixes changes, faults and delays; trio runs
tasks that are ready at the same time in any order, which shifts times by some
milliseconds.

Usage:
  configuration [options]

Options:
  --entries E        Entry hosts [default: 54].
  --agents A         Agents [default: 216].
  --data-centres D   Data centres [default: 18].
  --workspaces W     Workspaces [default: 200].
  --changes N        Changes, at the rate of 41,000 a day [default: 60].
  --fault FAULT      none, frozen-reader, store-cut or restart [default: none].
  --seed N           Seed [default: 1].
  --json             Print one JSON document.
  -h --help          Show this text.
"""

from __future__ import annotations

import json
import random
import time
from typing import Any

import trio
from docopt import docopt
from trio.testing import MockClock

from benchmarks.configuration_fleet import Fleet, FleetProcess
from poplarward.coordination.configuration.sources import readers_of
from poplarward.telemetry import configure_logs
from poplarward.transport import LinkFaults

__all__ = ["main"]

CHANGES_PER_DAY = 41_000
SECONDS_PER_DAY = 86_400
IDLE_S = 60.0
LINK_DELAY_MS = 0.5
LINK_JITTER_MS = 0.5
FROZEN_FOR_S = 30.0


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    configure_logs("benchmark", "error")
    clock = MockClock(autojump_threshold=0)
    result = trio.run(run, arguments, clock=clock)
    print(json.dumps(result, indent=None if arguments["--json"] else 2))


async def run(arguments: dict[str, Any]) -> dict[str, Any]:
    """Run the measurement and return its results."""
    n_entries, n_agents = int(arguments["--entries"]), int(arguments["--agents"])
    n_data_centres = int(arguments["--data-centres"])
    seed, fault = int(arguments["--seed"]), arguments["--fault"]
    rng = random.Random(seed)
    data_centres = [f"dc-{number}" for number in range(n_data_centres)]
    faults = LinkFaults(delay_ms=LINK_DELAY_MS, jitter_ms=LINK_JITTER_MS)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, faults, seed)
        versions = {}
        for number in range(int(arguments["--workspaces"])):
            name = f"workspace-{number}"
            versions[name] = await fleet.put(name, workspace_spec(rng))
        fleet.start_all(n_entries, n_agents, data_centres)
        await fleet.wait_ready()
        await trio.sleep(10)
        idle = await measure_idle(fleet)
        before = Snapshot(fleet)
        delays_ms: list[float] = []
        for number in range(int(arguments["--changes"])):
            if number % 20 == 10:
                nursery.start_soon(inject_fault, fault, fleet, data_centres, rng)
            name = rng.choice(sorted(versions))
            versions[name] = await fleet.put(name, workspace_spec(rng), versions[name])
            nursery.start_soon(record_delays, fleet, versions[name], delays_ms)
            await trio.sleep(SECONDS_PER_DAY / CHANGES_PER_DAY)
        loaded = before.rates(fleet)
        calls_per_s = before.store_calls_per_s(fleet)
        await trio.sleep(FROZEN_FOR_S + 15)
        final = max(versions.values())
        n_behind = sum(p.view.revision < final for p in fleet.processes.values())
        n_watches = fleet.store.counts.n_watches
        nursery.cancel_scope.cancel()
    return {
        "entries": n_entries,
        "agents": n_agents,
        "data_centres": n_data_centres,
        "workspaces": len(versions),
        "fault": fault,
        "seed": seed,
        "in_force_ms": quantiles(delays_ms),
        "n_in_force": len(delays_ms),
        "n_behind_at_end": n_behind,
        "idle": idle,
        "at_target_rate": loaded,
        "store_watches": n_watches,
        "store_reads_per_s": calls_per_s,
    }


def workspace_spec(rng: random.Random) -> dict[str, Any]:
    """Return the spec of a workspace of typical size."""
    return {
        "share": rng.random(),
        "requests_per_s": 100.0,
        "tokens_per_s": 20_000.0,
        "services": ["drafts", "bookings"],
        "token_sha256": [f"{rng.getrandbits(256):064x}"],
    }


async def record_delays(fleet: Fleet, revision: int, delays_ms: list[float]) -> None:
    """Record the delay until each running process has applied a revision."""
    written_s = trio.current_time()

    async def record(process: FleetProcess) -> None:
        await process.view.wait_for_newer(revision - 1)
        if process.running.is_set():
            delays_ms.append((trio.current_time() - written_s) * 1000)

    with trio.move_on_after(FROZEN_FOR_S):
        async with trio.open_nursery() as nursery:
            for process in fleet.processes.values():
                if process.running.is_set():
                    nursery.start_soon(record, process)


async def inject_fault(
    fault: str, fleet: Fleet, data_centres: list[str], rng: random.Random
) -> None:
    """Inject a fault into a random data centre for a limited time."""
    data_centre = rng.choice(data_centres)
    entries = [member.identity for member in fleet.live("entry")]
    reader = fleet.processes[readers_of(data_centre, entries)[0]]
    affected = [p for p in fleet.processes.values() if is_in(p, data_centre)]
    match fault:
        case "frozen-reader":
            reader.freeze()
            await trio.sleep(FROZEN_FOR_S)
            reader.thaw()
        case "store-cut":
            for process in affected:
                process.is_store_unreachable = True
            await trio.sleep(FROZEN_FOR_S)
            for process in affected:
                process.is_store_unreachable = False
        case "restart":
            fleet.kill(reader.identity.name)
            await trio.sleep(5)
            fleet.start("entry", reader.identity.name, data_centre)


def is_in(process: FleetProcess, data_centre: str) -> bool:
    """Return whether a process runs in a data centre."""
    return process.identity.data_centre == data_centre


class Snapshot:
    """Counters at one point in time, to compute rates since then."""

    def __init__(self, fleet: Fleet):
        self.time_s = trio.current_time()
        self.cpu_s = time.process_time()
        self.n_bytes = dict(fleet.network.n_bytes)
        self.n_reads = fleet.store.counts.n_reads

    def rates(self, fleet: Fleet) -> dict[str, Any]:
        """Return the rates of bytes sent, by role, and of processor time."""
        duration_s = trio.current_time() - self.time_s
        cpu_us = (time.process_time() - self.cpu_s) * 1e6
        sent: dict[str, list[float]] = {"entry": [], "agent": []}
        for process in fleet.processes.values():
            host = process.identity.address.host
            n_sent = fleet.network.n_bytes.get(host, 0) - self.n_bytes.get(host, 0)
            sent[process.identity.role].append(n_sent / duration_s)
        n_processes = len(fleet.processes)
        return {
            "entry_sent_bytes_per_s": quantiles(sent["entry"]),
            "agent_sent_bytes_per_s": quantiles(sent["agent"]),
            "cpu_us_per_s_a_process": round(cpu_us / duration_s / n_processes, 1),
        }

    def store_calls_per_s(self, fleet: Fleet) -> float:
        """Return the reads of the store per second."""
        duration_s = trio.current_time() - self.time_s
        return round((fleet.store.counts.n_reads - self.n_reads) / duration_s, 3)


async def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """Return the rates while no configuration changes."""
    before = Snapshot(fleet)
    await trio.sleep(IDLE_S)
    return before.rates(fleet)


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the mean, p50, p99 and maximum."""
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        "mean": round(sum(ordered) / len(ordered), 2),
        "p50": round(ordered[round(last * 0.5)], 2),
        "p99": round(ordered[round(last * 0.99)], 2),
        "max": round(ordered[-1], 2),
    }


if __name__ == "__main__":
    main()
