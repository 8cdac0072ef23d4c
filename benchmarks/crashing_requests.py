"""Measures how many upstreams are lost to requests that crash them, in virtual time.

Compares quarantine after repeated crashes (``ours``) with no protection (``none``) and
with refusing every request that was in flight in a first crash (``first crash``).

Usage:
  crashing_requests [--json] [--seed N] [--seconds S]
  crashing_requests (-h | --help)

Options:
  --json       Print one JSON document; a table otherwise.
  --seed N     Varies the load [default: 1].
  --seconds S  How long requests are sent [default: 30].
  -h --help    Show this text.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

import trio
from docopt import docopt

from benchmarks.crashing_path import MARKER, CrashingEngines, draft_until_answered
from benchmarks.memory_path import MemoryPath, run_in_virtual_time
from poplarward.requests.suspects import SuspectTable
from poplarward.telemetry import configure_logs

__all__ = ["main"]

N_ENGINES = 8
N_ENTRIES = 3
N_CRASHING = range(1, 6)
N_SLOTS = 32
STEP_MS = 20.0
RESTART_MS = 5_000.0
HARMLESS_PER_S = 30.0
TOKENS_RANGE = (20, 60)
RESEND_BACKOFF_MS = 1_000.0


class QuarantineAfterFirstCrash(SuspectTable):
    """Quarantines every request that was in flight on an upstream when it crashed."""

    def suspect(self, digests: Iterable[int]) -> None:
        """Quarantine all the digests."""
        for digest in digests:
            self.quarantine(digest)


POLICIES = {
    "none": lambda: SuspectTable(keep_ms=0),
    "first crash": QuarantineAfterFirstCrash,
    "ours": SuspectTable,
}


def main() -> None:
    """Run the benchmark and print its results."""
    arguments = docopt(__doc__)
    configure_logs("benchmark", "error")
    seed, seconds = int(arguments["--seed"]), float(arguments["--seconds"])
    results = [
        {
            "policy": policy,
            "n_crashing": n_crashing,
            "at_once": n_at_once,
            **run_in_virtual_time(
                seed, _run, policy, n_crashing, n_at_once, seed, seconds
            ),
        }
        for n_at_once in (1, N_ENTRIES)
        for n_crashing in N_CRASHING
        for policy in POLICIES
    ]
    if arguments["--json"]:
        document = {"benchmark": "crashing_requests", "seed": seed, "seconds": seconds}
        print(json.dumps({**document, "results": results}, indent=1))
        return
    for result in results:
        print("  ".join(f"{name}={value}" for name, value in result.items()))


async def _run(
    policy: str, n_crashing: int, n_at_once: int, seed: int, seconds: float
) -> dict[str, Any]:
    rng = random.Random(seed)
    make_table = POLICIES[policy]
    harmless: Counter[str] = Counter()
    crashing: Counter[str] = Counter()
    async with trio.open_nursery() as nursery:
        path = MemoryPath(nursery)
        engines = CrashingEngines(path, RESTART_MS)
        await engines.start(N_ENGINES, STEP_MS, N_SLOTS, suspects=make_table)
        entries = [
            await path.start_entry(f"entry-{n}", f"10.1.0.{n}", suspects=make_table())
            for n in range(1, N_ENTRIES + 1)
        ]
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as callers:
                for number in range(n_crashing):
                    callers.start_soon(
                        _send_crashing, entries, number, n_at_once, rng, crashing
                    )
                callers.start_soon(_send_harmless, entries, rng, harmless, nursery)
                await trio.sleep_forever()
        # Wait for the requests in flight.
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    return {
        "engines_lost": engines.n_crashes,
        "crashing_refused": crashing["refused"],
        "others": sum(harmless.values()),
        "whole": harmless["whole"],
        "refused": harmless["refused"],
        "failed": harmless["failed"],
        "wrong": harmless["wrong"],
    }


async def _send_harmless(
    entries: list[Any],
    rng: random.Random,
    outcomes: Counter[str],
    nursery: trio.Nursery,
) -> None:
    while True:
        await trio.sleep(rng.expovariate(HARMLESS_PER_S))
        nursery.start_soon(
            draft_until_answered,
            [rng.choice(entries)],
            f"A quiet dog ({rng.random()}).",
            outcomes,
            1,
            0.0,
            rng.randint(*TOKENS_RANGE),
        )


async def _send_crashing(
    entries: list[Any],
    number: int,
    n_at_once: int,
    rng: random.Random,
    outcomes: Counter[str],
) -> None:
    """Send one prompt to several entry hosts at once, with retries."""
    await trio.sleep(1 + rng.random())
    prompt = f"A grey cat, {MARKER} ({number})."
    async with trio.open_nursery() as callers:
        for first in range(n_at_once):
            order = entries[first:] + entries[:first]
            callers.start_soon(
                draft_until_answered, order, prompt, outcomes, 1_000, RESEND_BACKOFF_MS
            )


if __name__ == "__main__":
    main()
