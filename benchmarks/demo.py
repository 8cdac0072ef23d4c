"""Runs a small deployment for pet portrait painters under load and faults.

It has entry hosts, drafting engines and booking services in three data centres. During
the run one entry host is stopped gracefully and one engine is killed. Prints a table
with a line for each class of requests; exits with status 1 if a guarantee was violated.

Usage:
  benchmarks.demo [--seed N] [--seconds S]

Options:
  --seed N     Seed of the load [default: 1].
  --seconds S  How long requests are sent [default: 25].
"""

from __future__ import annotations

import random
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import trio
from docopt import docopt

from .callers import Caller, ClassTally
from .demo_deployment import N_ENTRIES, print_progress, start_deployment
from .demo_report import print_report, read_findings, violated_guarantees
from .deployment import Deployment

MODELS = ("portrait", "palette")
ARRIVALS_PER_S = {"drafting": 6.0, "lookup": 20.0, "deposit": 8.0}
TOKENS_RANGE = (20, 120)
SETTLE_S = 20.0
PROMPTS = Path(__file__).parent / "prompts" / "portraits.txt"


class Scenario(NamedTuple):
    """Times of the injected events, in seconds from the start of the load."""

    stop_entry_at_s: float
    kill_engine_at_s: float


async def send_load(
    deployment: Deployment, rng: random.Random, seconds: float
) -> dict[str, ClassTally]:
    """Send requests of every class and return their results."""
    addresses = [
        deployment.settings[f"entry-{i}"]["callers_listen"] for i in range(N_ENTRIES)
    ]
    prompts = PROMPTS.read_text(encoding="utf-8").splitlines()
    tallies = {name: ClassTally() for name in ARRIVALS_PER_S}
    callers = [
        Caller(addresses, f"token-{name}", random.Random(rng.random()))
        for name in ("ateliers", "owners", "owners")
    ]

    async def send_one(name: str, number: int) -> None:
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

    async def generate_arrivals(name: str, nursery: trio.Nursery) -> None:
        end = trio.current_time() + seconds
        number = 0
        while trio.current_time() < end:
            await trio.sleep(rng.expovariate(ARRIVALS_PER_S[name]))
            number += 1
            nursery.start_soon(send_one, name, number)

    with trio.move_on_after(seconds + SETTLE_S):
        async with trio.open_nursery() as nursery:
            for name in ARRIVALS_PER_S:
                nursery.start_soon(generate_arrivals, name, nursery)
    for caller in callers:
        await caller.close()
    return tallies


async def run_scenario(
    deployment: Deployment, scenario: Scenario, stopped: list[int]
) -> None:
    """Stop an entry host gracefully and kill an engine, while requests run."""
    await trio.sleep(scenario.stop_entry_at_s)
    print_progress("planned stop of entry-1 ...")
    await deployment.list_host("entry-1", "leaving")
    status = await deployment.processes["entry-1"].stop()
    stopped.append(status)
    print_progress(f"entry-1 ended with status {status}")
    await trio.sleep(max(0, scenario.kill_engine_at_s - scenario.stop_entry_at_s))
    print_progress("killing engine-1 ...")
    deployment.processes["engine-1"].signal(signal.SIGKILL)


async def run(seed: int, seconds: float) -> int:
    """Run the demonstration; returns the exit status."""
    rng = random.Random(seed)
    scenario = Scenario(seconds * 0.25, seconds * 0.6)
    stopped: list[int] = []
    async with Deployment() as deployment:
        await start_deployment(deployment)
        print_progress(f"sending requests for {seconds:g} s, seed {seed} ...")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_scenario, deployment, scenario, stopped)
            tallies = await send_load(deployment, rng, seconds)
        findings = await read_findings(deployment)
    print_report(tallies, findings)
    violated = violated_guarantees(tallies, findings, stopped)
    for guarantee in violated:
        print_progress(f"BROKEN: {guarantee}")
    if not violated:
        print_progress("every promise held")
    return 1 if violated else 0


def main() -> None:
    """Run the demonstration with the options of the command line."""
    arguments = docopt(__doc__)
    sys.exit(trio.run(run, int(arguments["--seed"]), float(arguments["--seconds"])))


if __name__ == "__main__":
    main()
