"""Compares ways to change the expert map of a group in one step for all its ranks.

Usage:
  expert_maps [options]
  expert_maps (-h | --help)

Options:
  --ranks R       Sizes of the group, by comma [default: 16,256].
  --step-ms MS    Time of a step [default: 40].
  --lead-steps N  Steps between our question for votes and the switch [default: 8].
  --seed N        Seed of the delays [default: 1].
  --json          Print one JSON document; the default is a table.
  -h --help       Show this text.

Each way is run on the same virtual clock, network and rank group: without a fault, with
a rank that stalls for a second, and with its coordinator killed at each of several
moments and replaced after three seconds. Steps slowed are the steps' worth of time by
which the group fell behind, apart from the stall itself.
"""

from __future__ import annotations

import json
from typing import Any

import trio
from docopt import docopt
from trio.testing import MockClock

from benchmarks.expert_map_ways import WAYS, Run, RunOptions
from poplarward.telemetry import configure_logs

__all__ = ["main", "run"]

KILL_AFTER_MS = (0.5, 2, 4, 5, 6, 6.25, 6.5, 6.75, 7, 7.25, 7.5, 7.75, 8, 12, 24)
STALL_S = 1.0
TAKE_OVER_S = 3.0
RUN_S = 8.0


async def _healthy(run: Run) -> None:
    run.propose()


async def _stalled(run: Run) -> None:
    engine = run.ranks.engines[-1]
    engine.is_stalled = True
    run.propose()
    await trio.sleep(STALL_S)
    engine.is_stalled = False
    engine.wake()
    run.stalled_s = STALL_S


def _killed(after_ms: float) -> Any:
    async def scenario(run: Run) -> None:
        run.propose()
        await run.staged.wait()
        await trio.sleep(after_ms / 1000)
        run.kill_coordinator()
        await trio.sleep(TAKE_OVER_S)
        await run.replace_coordinator()

    return scenario


async def _run_one(way: str, options: RunOptions, scenario: Any) -> dict[str, Any]:
    async with trio.open_nursery() as nursery:
        run = Run(nursery, WAYS[way], options)
        await run.start()
        await trio.sleep(1)
        proposed_at = trio.current_time()
        n_messages = run.n_messages()
        await scenario(run)
        await trio.sleep(RUN_S)
        result = run.result(proposed_at)
        result["n_messages"] = run.n_messages() - n_messages
        nursery.cancel_scope.cancel()
    return result


def run(options: RunOptions) -> dict[str, Any]:
    """Return the figures of every way at one size."""

    def measure(way: str, scenario: Any) -> dict[str, Any]:
        clock = MockClock(autojump_threshold=0)
        return trio.run(_run_one, way, options, scenario, clock=clock)

    document: dict[str, Any] = {}
    for way in WAYS:
        killed = {f"{ms:g}": measure(way, _killed(ms)) for ms in KILL_AFTER_MS}
        document[way] = {
            "ordinary_messages_per_step": WAYS[way].messages_per_step(options.n_ranks),
            "healthy": measure(way, _healthy),
            "rank_stalled": measure(way, _stalled),
            "coordinator_killed_after_ms": killed,
            "coordinator_killed_worst_steps_slowed": max(
                item["steps_slowed"] for item in killed.values()
            ),
        }
    return document


def main() -> None:
    """Run the benchmark named on the command line."""
    arguments = docopt(__doc__)
    configure_logs("benchmark", "error")
    sizes = [int(size) for size in arguments["--ranks"].split(",")]
    step_ms, seed = float(arguments["--step-ms"]), int(arguments["--seed"])
    lead_steps = int(arguments["--lead-steps"])
    document = {
        str(size): run(RunOptions(size, step_ms, lead_steps, seed)) for size in sizes
    }
    if arguments["--json"]:
        print(json.dumps(document, indent=2))
        return
    for size, ways in document.items():
        for way, figures in ways.items():
            print(size, way, figures)


if __name__ == "__main__":
    main()
