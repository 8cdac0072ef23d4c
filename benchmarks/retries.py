"""Measures retries and resumed streams while engines fail, in virtual time.

Usage:
  retries [--json] [--requests N] [--seed N]
  retries (-h | --help)

Options:
  --json        Print one JSON document; a table otherwise.
  --requests N  Requests in each case [default: 400].
  --seed N      Varies the load and the faults [default: 1].
  -h --help     Show this text.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import Any

import trio
from docopt import docopt

from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    draft,
    run_in_virtual_time,
)
from poplarward.requests.retries import RequestRetryBudget
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words
from poplarward.telemetry import configure_logs
from poplarward.transport import HttpRequest, Responder

__all__ = ["main"]

N_ENGINES = 4
N_TOKENS = 20
STEP_MS = 20.0
ARRIVAL_INTERVAL_MS = 10.0
CRASH_INTERVAL_MS = 400.0
RESTART_MS = 300.0
ALWAYS = 1e9
POLICIES = {
    "never": lambda: RequestRetryBudget(0.0, 0.0),
    "always": lambda: RequestRetryBudget(0.0, ALWAYS, ALWAYS),
    "budget": RequestRetryBudget,
}
CASES = (
    "healthy",
    "one engine down",
    "all engines down",
    "all engines refuse",
    "engines crash in turn",
)


def main() -> None:
    """Run the benchmark and print its results."""
    arguments = docopt(__doc__)
    configure_logs("benchmark", "error")
    n_requests, seed = int(arguments["--requests"]), int(arguments["--seed"])
    results = [
        {"case": case, "policy": policy, **_measure(case, policy, n_requests, seed)}
        for case in CASES
        for policy in POLICIES
    ]
    if arguments["--json"]:
        document = {"benchmark": "retries", "seed": seed, "n_requests": n_requests}
        print(json.dumps({**document, "results": results}, indent=1))
        return
    for result in results:
        print("  ".join(f"{name}={value}" for name, value in result.items()))


def _measure(case: str, policy: str, n_requests: int, seed: int) -> dict[str, Any]:
    return run_in_virtual_time(seed, _run, case, policy, n_requests, seed)


async def _run(case: str, policy: str, n_requests: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        path = MemoryPath(nursery)
        handler = _refuse if case == "all engines refuse" else None
        clients = [
            await _start_engine(path, number, handler) for number in range(N_ENGINES)
        ]
        entry = await path.start_entry(new_budget=POLICIES[policy])
        n_down = {"one engine down": 1, "all engines down": N_ENGINES}.get(case, 0)
        for client in clients[:n_down]:
            client.crash()
        if case == "engines crash in turn":
            nursery.start_soon(_crash_in_turn, clients, rng)
        outcomes: Counter[str] = Counter()
        async with trio.open_nursery() as callers:
            for _ in range(n_requests):
                prompt = f"prompt {rng.random()}"
                callers.start_soon(_call, entry, prompt, outcomes)
                await trio.sleep(rng.expovariate(1000 / ARRIVAL_INTERVAL_MS))
        n_attempts = entry.n_attempts
        nursery.cancel_scope.cancel()
    return {
        "attempts_per_request": round(n_attempts / n_requests, 3),
        "whole": outcomes["whole"],
        "not_run": outcomes["not-run"],
        "failed": outcomes["failed"],
        "wrong": outcomes["wrong"],
    }


async def _refuse(request: HttpRequest, responder: Responder) -> None:
    await responder.respond_json(503, {"error": "overloaded"})


async def _start_engine(
    path: MemoryPath, number: int, handler: Any = None
) -> MemoryUpstream:
    engine = EngineStandin(EngineTiming(STEP_MS, 64))
    path.nursery.start_soon(engine.run)
    client = MemoryUpstream(path.nursery, handler or engine.handle)
    host = f"10.2.0.{number + 1}"
    await path.start_agent(f"agent-{number}", host, "engine", "drafts", client, 64)
    return client


async def _crash_in_turn(clients: list[MemoryUpstream], rng: random.Random) -> None:
    while True:
        await trio.sleep(CRASH_INTERVAL_MS / 1000)
        client = rng.choice(clients)
        client.crash()
        await trio.sleep(RESTART_MS / 1000)
        client.is_up = True


async def _call(entry: Any, prompt: str, outcomes: Counter[str]) -> None:
    caller = RecordingResponder()
    await entry.run(draft(prompt, N_TOKENS), caller)
    if caller.status != 200:
        outcomes["not-run" if caller.outcome == "not-run" else "failed"] += 1
    elif b"event: error" in caller.body:
        outcomes["failed"] += 1
    else:
        whole = caller.words() == completion_words(prompt, N_TOKENS)
        outcomes["whole" if whole else "wrong"] += 1


if __name__ == "__main__":
    main()
