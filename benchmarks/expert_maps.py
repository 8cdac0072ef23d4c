"""Compare protocols that switch all ranks of a group to a new expert map at one step.

Usage:
  expert_maps [options]
  expert_maps (-h | --help)

Options:
  --ranks R       Numbers of ranks in the group, separated by commas [default: 16,256].
  --step-ms MS    Duration of a step [default: 40].
  --lead-steps N  Steps from the vote request of "ours" to the switch [default: 8].
  --seed N        Seed of the delays [default: 1].
  --json          Print one JSON document; the default is a table.
  -h --help       Show this text.

Each protocol runs with the same virtual clock, network and rank group: without a fault,
with a rank that stalls for one second, and with the coordinator killed at several times
after the map is staged and replaced three seconds later. Steps slowed is the time that
the group lost, in steps, without the duration of the stall itself.
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
TAKEOVER_DELAY_S = 3.0
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
        await trio.sleep(TAKEOVER_DELAY_S)
        await run.replace_coordinator()

    return scenario


async def _run_one(protocol: str, options: RunOptions, scenario: Any) -> dict[str, Any]:
    async with trio.open_nursery() as nursery:
        run = Run(nursery, WAYS[protocol], options)
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
    """Return the measurements of every protocol at one group size."""

    def measure(protocol: str, scenario: Any) -> dict[str, Any]:
        clock = MockClock(autojump_threshold=0)
        return trio.run(_run_one, protocol, options, scenario, clock=clock)

    document: dict[str, Any] = {}
    for protocol in WAYS:
        killed = {f"{ms:g}": measure(protocol, _killed(ms)) for ms in KILL_AFTER_MS}
        document[protocol] = {
            "ordinary_messages_per_step": WAYS[protocol].messages_per_step(
                options.n_ranks
            ),
            "healthy": measure(protocol, _healthy),
            "rank_stalled": measure(protocol, _stalled),
            "coordinator_killed_after_ms": killed,
            "coordinator_killed_worst_steps_slowed": max(
                item["steps_slowed"] for item in killed.values()
            ),
        }
    return document


def main() -> None:
    """Run the benchmark with the options of the command line."""
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
    for size, protocols in document.items():
        for protocol, measurements in protocols.items():
            print(size, protocol, measurements)


if __name__ == "__main__":
    main()
