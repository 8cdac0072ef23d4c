"""Runs a scaled deployment of pet portrait painters under load and faults.

Three data centres with entry hosts, drafting engines and booking services. On the
way one entry host is stopped in order and one engine is killed. Ends with a table
for each class of requests, and with exit status 1 if a promise was broken.

Usage:
  benchmarks.demo [--seed N] [--seconds S]

Options:
  --seed N     Seed of the load [default: 1].
  --seconds S  How long requests are sent [default: 25].
"""

from __future__ import annotations

import json
import random
import signal
import statistics
import sys
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import trio
from docopt import docopt

from poplarward.protocol.generated.poplarward.v1 import operations_pb2 as pb
from poplarward.transport import HttpClient

from .callers import Caller, ClassTally
from .deployment import Deployment, ledger_service, model_group, workspace

DATA_CENTRES = ("rennes", "brest", "vannes")
N_ENTRIES = 6
N_ENGINES = 4
N_LEDGERS = 3
N_RANKS = 4
MODELS = ("portrait", "palette")
ARRIVALS_PER_S = {"drafting": 6.0, "lookup": 20.0, "deposit": 8.0}
TOKENS_RANGE = (20, 120)
SETTLE_S = 20.0
PROMPTS = Path(__file__).parent / "prompts" / "portraits.txt"


class Scenario(NamedTuple):
    """What happens on the way, in seconds from the start of the load."""

    stop_entry_at_s: float
    kill_engine_at_s: float


def say(text: str) -> None:
    """Print a line of progress at once."""
    print(text, flush=True)


async def start_deployment(deployment: Deployment) -> None:
    """Start every process and apply the configuration."""
    say("starting the platform, engines and booking services ...")
    for i in range(N_ENGINES):
        engine = await deployment.start_standin(f"engine-{i}", "engine", [])
        await deployment.start_agent(
            f"agent-engine-{i}",
            DATA_CENTRES[i % 3],
            "engine",
            "drafts",
            f"http://{engine.host}:7000",
        )
    ranks = await deployment.start_standin(
        "ranks", "ranks", ["--hosts", str(N_RANKS), "--step-ms", "15"]
    )
    for i in range(N_RANKS):
        await deployment.start_agent(
            f"agent-rank-{i}",
            DATA_CENTRES[0],
            "engine",
            "palettes",
            f"http://{ranks.host}:{7000 + i}",
            ranks=[i],
        )
    for i in range(N_LEDGERS):
        ledger = await deployment.start_standin(f"ledger-{i}", "ledger", [])
        await deployment.start_agent(
            f"agent-ledger-{i}",
            DATA_CENTRES[i % 3],
            "plain",
            "bookings",
            f"http://{ledger.host}:7000",
        )
    say("starting the entry hosts ...")
    for i in range(N_ENTRIES):
        await deployment.start_entry(f"entry-{i}", DATA_CENTRES[i % 3])
    say("applying the configuration by remote procedure call ...")
    resources = [
        workspace("ateliers", "token-ateliers", 3.0),
        workspace("owners", "token-owners", 1.0),
        model_group("drafts", "portrait"),
        model_group("palettes", "palette", N_RANKS),
        pb.Resource(
            name="armor",
            deployment=pb.Deployment(skew_weight=3, rebalance_cost_weight=1),
        ),
        ledger_service("bookings"),
    ]
    for resource in resources:
        await deployment.apply("entry-0", resource)
    await wait_in_force(deployment, {resource.name for resource in resources})


async def wait_in_force(deployment: Deployment, names: set[str]) -> None:
    """Return once every entry host has the resources in force."""
    for i in range(N_ENTRIES):
        while True:
            listed = await deployment.operate(
                f"entry-{i}", "List", pb.ListRequest(), pb.ListResponse
            )
            if names <= {resource.name for resource in listed.resources}:
                break
            await trio.sleep(0.1)
    say(f"configuration in force on {N_ENTRIES} entry hosts")


async def send_load(
    deployment: Deployment, rng: random.Random, seconds: float
) -> dict[str, ClassTally]:
    """Send requests of every class and return the tallies."""
    addresses = [
        deployment.settings[f"entry-{i}"]["callers_listen"] for i in range(N_ENTRIES)
    ]
    prompts = PROMPTS.read_text(encoding="utf-8").splitlines()
    tallies = {name: ClassTally() for name in ARRIVALS_PER_S}
    callers = [
        Caller(addresses, f"token-{name}", random.Random(rng.random()))
        for name in ("ateliers", "owners", "owners")
    ]

    async def one(name: str, number: int) -> None:
        caller = rng.choice(callers)
        tally = tallies[name]
        match name:
            case "drafting":
                prompt = f"{rng.choice(prompts)} ({number})"
                n_tokens = rng.randint(*TOKENS_RANGE)
                await caller.draft(tally, rng.choice(MODELS), prompt, n_tokens)
            case "lookup":
                await caller.look_up(tally, f"booking-{rng.randint(1, 50)}")
            case "deposit":
                await caller.deposit(tally, f"booking-{number}", 4000)

    async def arrivals(name: str, nursery: trio.Nursery) -> None:
        end = trio.current_time() + seconds
        number = 0
        while trio.current_time() < end:
            await trio.sleep(rng.expovariate(ARRIVALS_PER_S[name]))
            number += 1
            nursery.start_soon(one, name, number)

    with trio.move_on_after(seconds + SETTLE_S):
        async with trio.open_nursery() as nursery:
            for name in ARRIVALS_PER_S:
                nursery.start_soon(arrivals, name, nursery)
    for caller in callers:
        await caller.close()
    return tallies


async def run_scenario(
    deployment: Deployment, scenario: Scenario, stopped: list[int]
) -> None:
    """Stop an entry host in order and kill an engine, while requests run."""
    await trio.sleep(scenario.stop_entry_at_s)
    say("planned stop of entry-1 ...")
    await deployment.list_host("entry-1", "leaving")
    status = await deployment.processes["entry-1"].stop()
    stopped.append(status)
    say(f"entry-1 ended with status {status}")
    await trio.sleep(max(0, scenario.kill_engine_at_s - scenario.stop_entry_at_s))
    say("killing engine-1 ...")
    deployment.processes["engine-1"].signal(signal.SIGKILL)


async def read_rank_record(deployment: Deployment) -> dict[str, Any]:
    """Return the rank group's own record of its steps and maps."""
    client = HttpClient(f"http://{deployment.processes['ranks'].host}:7000")
    reply = await client.call("GET", "/record")
    await client.close()
    return json.loads(reply.body)


async def read_group_status(deployment: Deployment) -> pb.GroupStatus:
    """Return the rank group's status from the entry host that leads it."""
    latest = pb.GroupStatus(name="palettes")
    for i in range(N_ENTRIES):
        if deployment.processes[f"entry-{i}"].popen.poll() is not None:
            continue
        status = await deployment.operate(
            f"entry-{i}", "GetStatus", pb.GetStatusRequest(), pb.GetStatusResponse
        )
        for group in status.groups:
            if group.name == latest.name and group.skew > 0:
                latest = group
    return latest


async def doubled_postings(deployment: Deployment) -> int:
    """Return how many postings are doubled, from the ledgers' own records."""
    references: Counter[str] = Counter()
    for i in range(N_LEDGERS):
        host = deployment.processes[f"ledger-{i}"].host
        client = HttpClient(f"http://{host}:7000")
        reply = await client.call("GET", "/postings")
        await client.close()
        references.update(posting["reference"] for posting in json.loads(reply.body))
    return sum(n - 1 for n in references.values())


def print_table(tallies: dict[str, ClassTally]) -> None:
    """Print one line for each class."""
    say("")
    say(
        f"{'class':10}{'sent':>7}{'whole':>7}{'wrong':>7}{'none':>6}"
        f"{'not-run':>9}{'unknown':>9}{'p50 ms':>9}{'p95 ms':>9}"
    )
    for name, tally in tallies.items():
        cuts = statistics.quantiles(tally.latencies_ms or [0, 0], n=20)
        say(
            f"{name:10}{tally.n_sent:7}{tally.n_whole:7}{tally.n_wrong:7}"
            f"{tally.n_unanswered:6}{tally.outcomes['not-run']:9}"
            f"{tally.outcomes['unknown']:9}{cuts[9]:9.0f}{cuts[18]:9.0f}"
        )
    say("not-run and unknown count tries; whole counts requests answered in full")


def broken_promises(
    tallies: dict[str, ClassTally],
    n_doubled: int,
    stopped: list[int],
    n_mixed_steps: int,
) -> list[str]:
    """Return what did not hold, in words."""
    broken = []
    for name, tally in tallies.items():
        if tally.n_wrong:
            broken.append(f"{tally.n_wrong} {name} answers were wrong or not whole")
        n_missing = tally.n_sent - tally.n_whole - tally.n_wrong
        if n_missing:
            broken.append(f"{n_missing} {name} requests got no answer")
    if n_doubled:
        broken.append(f"{n_doubled} deposits were recorded twice")
    if n_mixed_steps:
        broken.append(f"{n_mixed_steps} steps used more than one expert map")
    if stopped != [0]:
        broken.append("the planned stop of an entry host did not end in order")
    return broken


async def run(seed: int, seconds: float) -> int:
    """Run the demonstration; returns the exit status."""
    rng = random.Random(seed)
    scenario = Scenario(seconds * 0.25, seconds * 0.6)
    stopped: list[int] = []
    async with Deployment() as deployment:
        await start_deployment(deployment)
        say(f"sending requests for {seconds:g} s, seed {seed} ...")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_scenario, deployment, scenario, stopped)
            tallies = await send_load(deployment, rng, seconds)
        n_doubled = await doubled_postings(deployment)
        record = await read_rank_record(deployment)
        group = await read_group_status(deployment)
    print_table(tallies)
    say(
        f"rank group: {record['n_steps']} steps, {len(record['mixed_steps'])} with"
        f" more than one map; {group.n_experts_moved} experts moved, skew"
        f" {group.skew:.2f} at the end"
    )
    say(f"doubled deposits in the ledgers' own records: {n_doubled}")
    n_mixed_steps = len(record["mixed_steps"])
    broken = broken_promises(tallies, n_doubled, stopped, n_mixed_steps)
    for promise in broken:
        say(f"BROKEN: {promise}")
    if not broken:
        say("every promise held")
    return 1 if broken else 0


def main() -> None:
    """Run the demonstration named on the command line."""
    arguments = docopt(__doc__)
    sys.exit(trio.run(run, int(arguments["--seed"]), float(arguments["--seconds"])))


if __name__ == "__main__":
    main()
