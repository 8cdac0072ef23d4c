"""Restarts every process in turn under load and counts failed requests.

Entry hosts, agents and engines are stopped with SIGTERM and restarted one by one; while
a process is down, the platform lists it as "leaving" (draining). Callers send drafts,
look-ups and deposits throughout and retry those that were not run. The ledger's own
record shows whether a deposit was made twice.

Usage:
  benchmarks.rolling_restart [--seed N] [--json] [--quiet-seconds S]
                             [--stop-wait-ms MS]

Options:
  --seed N           Seed of the load [default: 1].
  --json             Print the result as JSON.
  --quiet-seconds S  How long requests are sent before the first stop [default: 10].
  --stop-wait-ms MS  How long an agent that stops waits for streams [default: 20000].
"""

from __future__ import annotations

import json
import random
import statistics
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio
from docopt import docopt

from poplarward.errors import UpstreamUnreachable
from poplarward.transport import HttpClient

from .callers import Caller, ClassTally
from .deployment import Deployment, ledger_service, model_group, workspace

__all__ = ["RollingRestart", "Tallies"]

DATA_CENTRE = "rennes"
ARRIVALS_PER_S = {"drafting": 4.0, "lookup": 10.0, "deposit": 4.0}
TOKENS_RANGE = (20, 200)
READY_TIMEOUT_S = 30.0
PROMPTS = Path(__file__).parent / "prompts" / "portraits.txt"


@dataclass
class Tallies:
    """Results of each class of requests in one phase of the run."""

    drafting: ClassTally = field(default_factory=ClassTally)
    lookup: ClassTally = field(default_factory=ClassTally)
    deposit: ClassTally = field(default_factory=ClassTally)

    def all(self) -> dict[str, ClassTally]:
        """Return the tallies by class name."""
        return vars(self)


class RollingRestart:
    """A small deployment under load whose processes are restarted in turn.

    Attributes
    ----------
    stops_ms : dict
        Time that each process took to stop, by its name.
    """

    def __init__(
        self,
        deployment: Deployment,
        n_entries: int,
        n_engines: int,
        rng: random.Random,
        entry_settings: dict[str, Any] | None = None,
        agent_settings: dict[str, Any] | None = None,
    ):
        self.deployment = deployment
        self.entries = [f"entry-{i}" for i in range(n_entries)]
        self.engines = [f"engine-{i}" for i in range(n_engines)]
        self.stops_ms: dict[str, float] = {}
        self._rng = rng
        self._entry_settings = entry_settings or {}
        self._agent_settings = agent_settings or {}
        self._prompts = PROMPTS.read_text(encoding="utf-8").splitlines()
        self._callers: list[Caller] = []
        self._n_sent = 0

    async def start(self) -> None:
        """Start every process and apply the configuration."""
        deployment = self.deployment
        async with trio.open_nursery() as nursery:
            for engine in self.engines:
                nursery.start_soon(self._start_upstream, engine, "engine", "drafts")
            nursery.start_soon(self._start_upstream, "ledger", "plain", "bookings")
        async with trio.open_nursery() as nursery:
            for name in self.entries:
                nursery.start_soon(self._start_entry, name)
        for resource in (
            workspace("ateliers", "caller"),
            model_group("drafts", "portrait"),
            ledger_service("bookings"),
        ):
            await deployment.apply(self.entries[0], resource)
        addresses = [deployment.settings[e]["callers_listen"] for e in self.entries]
        self._callers = [
            Caller(addresses, "caller", random.Random(self._rng.random()))
            for _ in range(4)
        ]
        for name in self.entries:
            await self._wait_ready(name)
        probe = ClassTally()
        await self._callers[0].draft(probe, "portrait", "A goat.", 1)
        await self._callers[0].look_up(probe, "booking-0")

    async def close(self) -> None:
        """Close the callers' connections."""
        for caller in self._callers:
            await caller.close()

    async def send(self, kind: str, tallies: Tallies) -> None:
        """Send a request of a class, with retries until it succeeds."""
        caller = self._rng.choice(self._callers)
        self._n_sent += 1
        number = self._n_sent
        match kind:
            case "drafting":
                prompt = f"{self._rng.choice(self._prompts)} ({number})"
                n_tokens = self._rng.randint(*TOKENS_RANGE)
                await caller.draft(tallies.drafting, "portrait", prompt, n_tokens)
            case "lookup":
                await caller.look_up(tallies.lookup, f"booking-{number}")
            case "deposit":
                await caller.deposit(tallies.deposit, f"booking-{number}", 4000)

    async def restart_all(self) -> None:
        """Restart the entry hosts, then the engines, then the ledger's agent."""
        for name in self.entries:
            await self._restart_entry(name)
        for engine in self.engines:
            await self._restart_engine(engine)
        await self._stop("agent-ledger")
        await self._start_again("agent-ledger")

    async def n_doubled(self) -> int:
        """Return the number of duplicate deposits in the ledger's own record."""
        client = HttpClient(f"http://{self.deployment.processes['ledger'].host}:7000")
        reply = await client.call("GET", "/postings")
        await client.close()
        counts = Counter(posting["reference"] for posting in json.loads(reply.body))
        return sum(n - 1 for n in counts.values())

    async def _start_upstream(self, name: str, kind: str, upstream: str) -> None:
        standin = "engine" if kind == "engine" else "ledger"
        process = await self.deployment.start_standin(name, standin, [])
        await self.deployment.start_agent(
            f"agent-{name}",
            DATA_CENTRE,
            kind,
            upstream,
            f"http://{process.host}:7000",
            **self._agent_settings,
        )

    async def _start_entry(self, name: str) -> None:
        await self.deployment.start_entry(name, DATA_CENTRE, **self._entry_settings)

    async def _restart_entry(self, name: str) -> None:
        await self._stop(name)
        await self._start_again(name)

    async def _restart_engine(self, engine: str) -> None:
        """Restart an engine; its agent stops first, which drains the engine."""
        deployment = self.deployment
        await self._stop(f"agent-{engine}")
        process = deployment.processes[engine]
        await process.stop()
        await deployment.start_standin(engine, "engine", [], process.host)
        await self._start_again(f"agent-{engine}")

    async def _stop(self, name: str) -> None:
        await self.deployment.list_host(name, "leaving")
        started_at = trio.current_time()
        status = await self.deployment.processes[name].stop()
        self.stops_ms[name] = round(1000 * (trio.current_time() - started_at))
        if status:
            raise RuntimeError(f"{name} ended with status {status}")

    async def _start_again(self, name: str) -> None:
        await self.deployment.restart(name)
        await self.deployment.list_host(name)
        await self._wait_ready(name)

    async def _wait_ready(self, name: str) -> None:
        address = self.deployment.settings[name]["metrics_listen"]
        client = HttpClient(f"http://{address}")
        with trio.fail_after(READY_TIMEOUT_S):
            while not await _is_ready(client):
                await trio.sleep(0.05)
        await client.close()


async def _is_ready(client: HttpClient) -> bool:
    try:
        return (await client.call("GET", "/readyz")).status == 200
    except UpstreamUnreachable:
        return False


async def run(seed: int, quiet_s: float, stop_wait_ms: float) -> dict[str, Any]:
    """Run the benchmark; returns its result."""
    rng = random.Random(seed)
    quiet, restarting = Tallies(), Tallies()
    phase = quiet
    is_finished = trio.Event()
    async with Deployment() as deployment:
        agent_settings = {"stop_wait_ms": stop_wait_ms}
        rolling = RollingRestart(deployment, 3, 4, rng, None, agent_settings)
        await rolling.start()

        async def generate_arrivals(kind: str, nursery: trio.Nursery) -> None:
            while not is_finished.is_set():
                await trio.sleep(rng.expovariate(ARRIVALS_PER_S[kind]))
                nursery.start_soon(rolling.send, kind, phase)

        async with trio.open_nursery() as nursery:
            for kind in ARRIVALS_PER_S:
                nursery.start_soon(generate_arrivals, kind, nursery)
            await trio.sleep(quiet_s)
            phase = restarting
            started_at = trio.current_time()
            await rolling.restart_all()
            restarts_s = trio.current_time() - started_at
            is_finished.set()
        n_doubled = await rolling.n_doubled()
        await rolling.close()
    return {
        "seed": seed,
        "stop_wait_ms": stop_wait_ms,
        "quiet": {name: _summary(tally) for name, tally in quiet.all().items()},
        "restarting": {
            name: _summary(tally) for name, tally in restarting.all().items()
        },
        "n_doubled": n_doubled,
        "restarts_s": round(restarts_s, 1),
        "stops_ms": rolling.stops_ms,
    }


def _summary(tally: ClassTally) -> dict[str, Any]:
    cuts = statistics.quantiles(tally.latencies_ms or [0, 0], n=20)
    return {
        "n_sent": tally.n_sent,
        "n_whole": tally.n_whole,
        "n_wrong": tally.n_wrong,
        "n_unanswered": tally.n_unanswered,
        "n_cut_tries": tally.outcomes["unknown"],
        "n_refused_tries": tally.outcomes["not-run"],
        "p50_ms": round(cuts[9]),
        "p95_ms": round(cuts[18]),
    }


def _print_text(result: dict[str, Any]) -> None:
    for phase in ("quiet", "restarting"):
        for kind, figures in result[phase].items():
            cells = " ".join(f"{name}={value}" for name, value in figures.items())
            print(f"{phase:11} {kind:9} {cells}")
    for name in ("n_doubled", "restarts_s", "stops_ms"):
        print(f"{name}: {result[name]}")


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    quiet_s = float(arguments["--quiet-seconds"])
    stop_wait_ms = float(arguments["--stop-wait-ms"])
    result = trio.run(run, int(arguments["--seed"]), quiet_s, stop_wait_ms)
    if arguments["--json"]:
        print(json.dumps(result, indent=2))
    else:
        _print_text(result)


if __name__ == "__main__":
    main()
