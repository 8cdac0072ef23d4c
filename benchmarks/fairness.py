"""Measures how an upstream's slots are shared among classes and workspaces.

Usage:
  fairness [options]
  fairness (-h | --help)

Options:
  --slots N    Slots of the upstream [default: 16].
  --seconds S  Length of each run, in virtual time [default: 120].
  --seed N     Seed of the arrivals [default: 1].
  --json       Print one JSON document (always so).
  -h --help    Show this text.

Runs in virtual time, so a seed always gives the same figures. ``fifo`` is a single
queue in order of arrival, ``ours`` the fair queue of an agent.
"""

from __future__ import annotations

import json
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import trio
from docopt import docopt
from trio.testing import MockClock

from poplarward.errors import Refused
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.fair_queue import Demand, FairQueue

__all__ = ["Load", "run_loads"]

TOKEN_MS = 20.0
URGENT_TOKENS = 5
MEAN_DRAFT_TOKENS = 100
URGENT_DEADLINE_MS = 5_000.0
DRAFT_DEADLINE_MS = 60_000.0


class Load(NamedTuple):
    """Requests of one workspace.

    Attributes
    ----------
    capacity_share : float
        Ratio of the requested tokens to the tokens that all slots can serve.
    """

    priority_class: PriorityClass
    workspace: str
    share: float
    capacity_share: float


class Fifo:
    """A single queue for all requests, in order of arrival."""

    def __init__(self, n_slots: int):
        self._slots = trio.Semaphore(n_slots)

    @asynccontextmanager
    async def hold(self, demand: Demand) -> AsyncIterator[None]:
        """Hold a slot; raises `Refused` if none is free by the deadline."""
        with trio.move_on_after(demand.deadline_ms / 1000) as scope:
            await self._slots.acquire()
        if scope.cancelled_caught:
            raise Refused("deadline", 0)
        try:
            yield
        finally:
            self._slots.release()


class _Counts:
    """Outcomes of the requests of one workspace."""

    def __init__(self) -> None:
        self.waits_ms: list[float] = []
        self.refusals_ms: list[float] = []
        self.n_late = 0
        self.n_tokens = 0

    def summary(self) -> dict[str, float]:
        """Return the summary statistics to print."""
        waits = sorted(self.waits_ms) or [0.0]
        return {
            "served": len(self.waits_ms),
            "late": self.n_late,
            "refused": len(self.refusals_ms),
            "refusal_after_max_ms": round(max(self.refusals_ms, default=0.0), 1),
            "wait_p50_ms": round(waits[len(waits) // 2], 1),
            "wait_p99_ms": round(waits[int(0.99 * (len(waits) - 1))], 1),
            "tokens": self.n_tokens,
        }


async def _generate_requests(
    slots: Any,
    load: Load,
    counts: _Counts,
    n_slots: int,
    until_s: float,
    rng: random.Random,
) -> None:
    """Send the requests of one workspace."""
    if not load.capacity_share:
        return
    is_urgent = load.priority_class is PriorityClass.URGENT
    mean_tokens = URGENT_TOKENS if is_urgent else MEAN_DRAFT_TOKENS
    rate = load.capacity_share * n_slots * 1000 / TOKEN_MS / mean_tokens
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until_s:
            await trio.sleep(rng.expovariate(rate))
            n_tokens = mean_tokens
            if not is_urgent:
                n_tokens = 1 + int(rng.expovariate(1 / mean_tokens))
            deadline_ms = URGENT_DEADLINE_MS if is_urgent else DRAFT_DEADLINE_MS
            demand = Demand(
                load.priority_class, load.workspace, load.share, n_tokens, deadline_ms
            )
            nursery.start_soon(_run_one, slots, demand, counts, until_s)


async def _run_one(slots: Any, demand: Demand, counts: _Counts, until_s: float) -> None:
    started_at = trio.current_time()
    try:
        async with slots.hold(demand):
            counts.waits_ms.append(1000 * (trio.current_time() - started_at))
            await trio.sleep(demand.n_tokens * TOKEN_MS / 1000)
    except Refused:
        counts.refusals_ms.append(1000 * (trio.current_time() - started_at))
        return
    if trio.current_time() <= until_s:
        counts.n_tokens += demand.n_tokens
    counts.n_late += 1000 * (trio.current_time() - started_at) > demand.deadline_ms


def run_loads(
    slots_type: type, loads: Sequence[Load], n_slots: int, seconds: float, seed: int
) -> dict[str, dict[str, float]]:
    """Return the summary statistics of each workspace after a run in virtual time."""
    counts = {load.workspace: _Counts() for load in loads}

    async def run() -> None:
        slots = slots_type(n_slots)
        until_s = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for index, load in enumerate(loads):
                rng = random.Random(1000 * seed + index)
                tally = counts[load.workspace]
                nursery.start_soon(
                    _generate_requests, slots, load, tally, n_slots, until_s, rng
                )

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return {name: tally.summary() for name, tally in counts.items()}


def share_error(result: dict[str, dict[str, float]], loads: Sequence[Load]) -> float:
    """Return the largest relative deviation of the tokens served from the shares."""
    n_tokens = sum(tally["tokens"] for tally in result.values())
    shares = sum(load.share for load in loads)
    return max(
        abs(result[load.workspace]["tokens"] / n_tokens * shares / load.share - 1)
        for load in loads
    )


def scenarios() -> dict[str, list[Load]]:
    """Return the loads of each scenario by its name."""
    urgent = Load(PriorityClass.URGENT, "urgent", 1.0, 0.05)
    drafting = PriorityClass.DRAFTING
    found = {
        f"drafting {factor}x": [urgent, Load(drafting, "drafts", 1.0, factor)]
        for factor in (0.0, 1.0, 3.0)
    }
    found["shares 1:2:4"] = [
        Load(drafting, f"share-{share}", share, 2.0) for share in (1.0, 2.0, 4.0)
    ]
    found["one floods"] = [
        Load(drafting, "steady", 1.0, 0.3),
        Load(drafting, "flooding", 1.0, 10.0),
    ]
    return found


def main() -> None:
    """Print the results of every scenario for both queues."""
    arguments = docopt(__doc__)
    n_slots = int(arguments["--slots"])
    seconds = float(arguments["--seconds"])
    seed = int(arguments["--seed"])
    document: dict[str, Any] = {"slots": n_slots, "seconds": seconds, "seed": seed}
    for name, loads in scenarios().items():
        for label, slots_type in (("fifo", Fifo), ("ours", FairQueue)):
            result = run_loads(slots_type, loads, n_slots, seconds, seed)
            figures: dict[str, Any] = dict(result)
            if name.startswith("shares"):
                figures["share_error"] = round(share_error(result, loads), 3)
            document.setdefault(name, {})[label] = figures
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
