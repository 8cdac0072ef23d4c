"""Measures the cost of membership per host, and its failure detection.

Usage:
  membership [--json] [--seed N] [--sizes LIST] [--near N] [--cost-only]

Options:
  --json        Print one JSON document (the only form).
  --seed N      Seed of every random choice [default: 1].
  --sizes LIST  Numbers of entry hosts, by comma [default: 8,16,32,64].
  --near N      Entry hosts of a data centre [default: 8].
  --cost-only   Kill and delay nothing, which takes long with many hosts.

Entry hosts and agents run over in-memory channels in virtual time. Messages, bytes and
detected failures are the same on every run with one seed; processor time is not. It is
that of the whole process, so it includes the agents and the in-memory network.
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import trio
from docopt import docopt
from trio.testing import MockClock

from poplarward.coordination import ListedHost, LocalMember, Membership
from poplarward.coordination.membership import MemberRecord, MemberState
from poplarward.coordination.membership.assignment import WatchAssignment, delegates_of
from poplarward.coordination.membership.reachability import Reachability
from poplarward.coordination.membership.table import MemberTable
from poplarward.coordination.membership.view import MemberView
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.slices import run_at_once
from poplarward.telemetry import configure_logs
from poplarward.transport import Address, LinkFaults, MemoryNetwork

from .pauses import sliced_cost_ms

N_AGENTS_PER_ENTRY = 10
SETTLE_S = 10
MEASURED_S = 20
N_KILLS = 5
N_STALLS = 10
STALL_S = 0.8
TARGETS = {"bytes_per_s": 22_000, "us_per_s": 34_000}


class _Host:
    """One process with its membership."""

    def __init__(self, fleet: _Fleet, role: str, i: int, data_centre: str):
        self.name = f"{role}-{i}"
        self.address = Address(f"10.{role == 'agent':d}.{i // 250}.{i % 250}", 9000)
        identity = ProcessIdentity(role, self.name, i, self.address, data_centre)
        self.peers = Peers(fleet.network.host(self.address.host), identity, "s")
        self.presence = LocalMember(self.peers, now_ms=lambda: 1000)
        self.membership: Membership | None = None
        if role == "entry":
            self.membership = Membership(
                self.peers, self.presence, lambda: fleet.listed, seed=i + fleet.seed
            )
        self.scope = trio.CancelScope()

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.peers.start(nursery)
                if self.membership is not None:
                    await self.membership.start(nursery)
                task_status.started()
                await trio.sleep_forever()


class _Fleet:
    """All hosts of one run, and the failures that their membership reports."""

    def __init__(self, n_entries: int, n_near: int, seed: int):
        self.seed = seed
        self.faults = LinkFaults(delay_ms=1, jitter_ms=1)
        self.network = MemoryNetwork(self.faults, seed)
        self.listed: list[ListedHost] = []
        self.n_false_suspicions = 0
        self.killed: set[str] = set()
        n_centres = max(1, n_entries // n_near)
        sizes = {"entry": n_entries, "agent": n_entries * N_AGENTS_PER_ENTRY}
        self.hosts = [
            _Host(self, role, i, f"dc-{i % n_centres}")
            for role, n in sizes.items()
            for i in range(n)
        ]
        for host in self.hosts:
            role, centre = host.peers.identity.role, host.peers.identity.data_centre
            entry = ListedHost(host.name, role, centre, "live", str(host.address))
            self.listed.append(entry)

    def entries(self) -> list[_Host]:
        return [h for h in self.hosts if h.membership and h.name not in self.killed]

    def not_live(self) -> set[str]:
        """Return the processes that any entry host considers not live."""
        return {
            name
            for host in self.entries()
            for role in ("entry", "agent")
            for name in host.membership.not_live(role)
        }

    async def count_false(self) -> None:
        """Count the false suspicions of processes that are alive."""
        before: set[str] = set()
        while True:
            await trio.sleep(0.1)
            now = self.not_live() - self.killed
            self.n_false_suspicions += len(now - before)
            before = now

    async def wait_until(self, condition: Callable[[], bool]) -> float:
        started_at = trio.current_time()
        with trio.fail_after(60):
            while not condition():
                await trio.sleep(0.1)
        return (trio.current_time() - started_at) * 1000


async def _measure(
    n_entries: int, n_near: int, seed: int, is_cost_only: bool = False
) -> dict[str, Any]:
    rng = random.Random(seed)
    fleet = _Fleet(n_entries, n_near, seed)
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            await nursery.start(host.run)
        await trio.sleep(SETTLE_S)
        cost = await _cost(fleet)
        size = {
            "entries": n_entries,
            "entries_of_a_data_centre": n_near,
            "agents": n_entries * N_AGENTS_PER_ENTRY,
        }
        if is_cost_only:
            nursery.cancel_scope.cancel()
            return size | cost
        nursery.start_soon(fleet.count_false)
        stalls = await _stall_links(fleet, rng)
        detection = [await _kill_one(fleet, rng) for _ in range(N_KILLS)]
        nursery.cancel_scope.cancel()
    return {
        **size,
        **cost,
        "stalls": stalls,
        "false_suspicions": fleet.n_false_suspicions,
        "suspect_everywhere_ms": sorted(round(s) for s, _ in detection),
        "gone_everywhere_ms": sorted(round(g) for _, g in detection),
    }


async def _cost(fleet: _Fleet) -> dict[str, Any]:
    """Return the traffic per host and the processor time per entry host."""
    network = fleet.network
    n_messages, n_bytes = dict(network.n_messages), dict(network.n_bytes)
    n_received = dict(network.n_bytes_received)
    cpu_s = time.process_time()
    await trio.sleep(MEASURED_S)
    cpu_s = time.process_time() - cpu_s
    cost: dict[str, Any] = {}
    for role in ("entry", "agent"):
        ips = [h.address.host for h in fleet.hosts if h.name.startswith(role)]
        sent = [network.n_messages.get(ip, 0) - n_messages.get(ip, 0) for ip in ips]
        size = [network.n_bytes.get(ip, 0) - n_bytes.get(ip, 0) for ip in ips]
        received = [
            network.n_bytes_received.get(ip, 0) - n_received.get(ip, 0) for ip in ips
        ]
        cost[f"{role}_bytes_received_per_s"] = round(
            sum(received) / len(ips) / MEASURED_S
        )
        cost[f"{role}_bytes_received_per_s_max"] = round(max(received) / MEASURED_S)
        cost[f"{role}_messages_per_s"] = round(sum(sent) / len(ips) / MEASURED_S, 1)
        cost[f"{role}_bytes_per_s"] = round(sum(size) / len(ips) / MEASURED_S)
        cost[f"{role}_bytes_per_s_max"] = round(max(size) / MEASURED_S)
    cost["us_per_s_and_entry"] = round(cpu_s / MEASURED_S / len(fleet.entries()) * 1e6)
    return cost


async def _stall_links(fleet: _Fleet, rng: random.Random) -> int:
    """Delay all messages for short periods, as a congested network does."""
    for _ in range(N_STALLS):
        await trio.sleep(rng.uniform(1, 3))
        fleet.faults.delay_ms = STALL_S * 1000 / 2
        await trio.sleep(STALL_S)
        fleet.faults.delay_ms = 1
    return N_STALLS


async def _kill_one(fleet: _Fleet, rng: random.Random) -> tuple[float, float]:
    victim = rng.choice([h for h in fleet.hosts if h.name not in fleet.killed])
    fleet.killed.add(victim.name)
    victim.scope.cancel()
    role = victim.peers.identity.role

    def suspected() -> bool:
        views = [h.membership.not_live(role) for h in fleet.entries()]
        return all(victim.name in names for names in views)

    def gone() -> bool:
        return all(
            member.state is MemberState.GONE
            for host in fleet.entries()
            for member in host.membership.members(role)
            if member.identity.name == victim.name
        )

    suspect_ms = await fleet.wait_until(suspected)
    return suspect_ms, suspect_ms + await fleet.wait_until(gone)


def _make_table(n_entries: int, n_agents: int, n_centres: int) -> MemberTable:
    table = MemberTable()
    for role, n in (("entry", n_entries), ("agent", n_agents)):
        table.merge(
            MemberRecord(
                f"{role}-{i}",
                role,
                f"dc-{i % n_centres}",
                Address("10.0.0.1", i),
                "",
                i,
                1,
                MemberState.LIVE,
            )
            for i in range(n)
        )
    return table


def _table_cost(n_entries: int, n_agents: int, n_centres: int) -> dict[str, Any]:
    """Return the processor time and memory of a host's work on the whole table."""
    tracemalloc.start()
    table = _make_table(n_entries, n_agents, n_centres)
    table_bytes = tracemalloc.get_traced_memory()[0]
    view = MemberView(table, Reachability())
    records = list(table.records.values())
    fewer = [record for record in records if record.name != f"entry-{n_centres + 1}"]
    assignment = WatchAssignment("entry-1")
    run_at_once(assignment.watched(records))
    view.live("entry", None)
    all_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assignment = WatchAssignment("entry-1")
    costs = {
        f"watched_{name}_ms": sliced_cost_ms(assignment.watched(found))
        for name, found in (("first", records), ("one_left", fewer), ("same", fewer))
    }
    return {
        "entries": n_entries,
        "agents": n_agents,
        "data_centres": n_centres,
        "table_bytes": table_bytes,
        "rankings_and_view_bytes": all_bytes - table_bytes,
        **costs,
        "watched_fields": ["whole", "longest slice"],
        "delegates_us": _time_us(lambda: delegates_of(records)),
        "view_us": _time_us(lambda: (view.clear(), view.not_live("agent"))),
        "live_entries_us": _time_us(lambda: (view.clear(), view.live("entry", None))),
        "gone_us": _time_us(lambda: view.gone("agent")),
        "digest_us": _time_us(table.digest),
        "n_watched": len(run_at_once(assignment.watched(records))),
    }


def _time_us(function: Callable[[], Any]) -> int:
    started = time.process_time()
    for _ in range(5):
        function()
    return round((time.process_time() - started) / 5 * 1e6)


def main() -> None:
    """Run the benchmark."""
    arguments = docopt(__doc__)
    seed, n_near = int(arguments["--seed"]), int(arguments["--near"])
    sizes = [int(size) for size in arguments["--sizes"].split(",")]
    configure_logs("membership", "error")
    runs = [
        trio.run(
            _measure,
            size,
            n_near,
            seed,
            arguments["--cost-only"],
            clock=MockClock(autojump_threshold=0),
        )
        for size in sizes
    ]
    document = {
        "seed": seed,
        "targets": TARGETS,
        "runs": runs,
        "tables": [_table_cost(n, 10_000, 18) for n in (1000, 5000)],
    }
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
