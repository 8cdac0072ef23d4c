"""Measure every cost per unit in ``docs/CAPACITY.md``, one after the other.

Usage:
  benchmarks.capacity [--json] [--seed N] [--only NAMES]

Options:
  --json        Print one JSON document; the default is one line per part.
  --seed N      Seed passed to each part [default: 1].
  --only NAMES  Parts to measure, separated by commas: relay, membership, configuration,
                limits, subset, payments, maps, local, idle [default: all].

Parts that have a benchmark of their own run it as a command, at sizes that fit on one
machine; the page says how each result is extrapolated to the target size.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import trio
from docopt import docopt

from . import capacity_local
from .capacity_processes import idle_cost

IDLE_SIZES = ((9, 18), (9, 45))
CONFIGURATION_SIZES = ((8, 40), (16, 80))
LIMITS_SIZES = ((12, 10), (24, 40))
GROUP_SIZES = ((16, 64, 58), (256, 64, 58))


def _run_benchmark(name: str, seed: int, *options: str) -> Any:
    """Return the document that another benchmark prints."""
    command = [sys.executable, "-m", f"benchmarks.{name}", "--json"]
    completed = subprocess.run(
        [*command, "--seed", str(seed), *options], check=True, capture_output=True
    )
    return json.loads(completed.stdout)


def _relay(seed: int) -> Any:
    return _run_benchmark("relay", seed, "--rounds", "2")


def _membership(seed: int) -> Any:
    return _run_benchmark("membership", seed)


def _configuration(seed: int) -> Any:
    return [
        _run_benchmark(
            "configuration",
            seed,
            *("--entries", str(n_entries), "--agents", str(n_agents)),
            *("--data-centres", "1", "--changes", "20", "--workspaces", "100"),
        )
        for n_entries, n_agents in CONFIGURATION_SIZES
    ]


def _limits(seed: int) -> Any:
    return [
        _run_benchmark(
            "limits",
            seed,
            "--entries",
            str(n_entries),
            "--workspaces",
            str(n_workspaces),
        )
        for n_entries, n_workspaces in LIMITS_SIZES
    ]


def _subset(seed: int) -> Any:
    return _run_benchmark("routing_subset", seed)


def _payments(seed: int) -> Any:
    return _run_benchmark("payments", seed, "--payments", "400")


def _maps(seed: int) -> Any:
    return _run_benchmark("expert_maps", seed, "--ranks", "16")


def _local(seed: int) -> Any:
    return {
        "bytes_per_resource": round(capacity_local.bytes_per_resource()),
        "bytes_per_labelled_workspace": round(
            capacity_local.bytes_per_labelled_workspace()
        ),
        "load_report": capacity_local.report_cost(),
        "plan_ms": {
            f"{ranks}x{experts}x{layers}": round(
                capacity_local.plan_ms(ranks, experts, layers), 1
            )
            for ranks, experts, layers in GROUP_SIZES
        },
    }


def _idle(seed: int) -> Any:
    return [trio.run(idle_cost, *size) for size in IDLE_SIZES]


PARTS: dict[str, Callable[[int], Any]] = {
    "local": _local,
    "idle": _idle,
    "relay": _relay,
    "subset": _subset,
    "payments": _payments,
    "limits": _limits,
    "maps": _maps,
    "configuration": _configuration,
    "membership": _membership,
}


def main() -> None:
    """Measure the parts named on the command line."""
    arguments = docopt(__doc__)
    seed = int(arguments["--seed"])
    only = arguments["--only"]
    names = list(PARTS) if only == "all" else only.split(",")
    results: dict[str, Any] = {}
    for name in names:
        results[name] = PARTS[name](seed)
        if not arguments["--json"]:
            print(name, json.dumps(results[name]), flush=True)
    if arguments["--json"]:
        print(json.dumps(results))


if __name__ == "__main__":
    main()
