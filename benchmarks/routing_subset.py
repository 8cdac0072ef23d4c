"""Measure the subsets of agents that entry hosts connect to, and their churn.

Usage:
  routing_subset [options]
  routing_subset (-h | --help)

Options:
  --hosts H         Agents [default: 10000].
  --pools P         Pools that the agents are divided into [default: 1].
  --entries E       Entry hosts [default: 1000].
  --data-centres D  Data centres [default: 18].
  --sample S        Entry hosts of the first data centres measured [default: 60].
  --seed N          Seed of the sample [default: 1].
  --json            Print one JSON document (always so).
  -h --help         Show this text.

``first_ms`` is the time to compute the first subset, ``change_ms`` the time to update
it after an entry host has left. The longest slice is the longest time for which the
computation blocks the event loop.
"""

from __future__ import annotations

import json
import random
import statistics

from docopt import docopt

from poplarward.requests.routing.subset import AgentSubset, PoolMember
from poplarward.slices import run_at_once

from .pauses import sliced_cost_ms

__all__ = ["main"]


def main() -> None:
    """Print the subset sizes, the churn and the computation times."""
    arguments = docopt(__doc__)
    n_data_centres = int(arguments["--data-centres"])
    entries = _members("entry", int(arguments["--entries"]), n_data_centres)
    agents = _members("agent", int(arguments["--hosts"]), n_data_centres)
    n_pools = int(arguments["--pools"])
    pools = [agents[i::n_pools] for i in range(n_pools)]
    rng = random.Random(int(arguments["--seed"]))
    first_ms = sliced_cost_ms(AgentSubset(entries[0]).choose(entries, pools))
    departed = rng.choice(entries)
    remaining = [entry for entry in entries if entry != departed]
    sample = rng.sample(remaining, min(len(remaining), int(arguments["--sample"])))
    sizes, n_moved, change_ms = [], 0, []
    for entry in sample:
        subset = AgentSubset(entry)
        before = run_at_once(subset.choose(entries, pools))
        change_ms.append(sliced_cost_ms(subset.choose(remaining, pools)))
        after = run_at_once(AgentSubset(entry).choose(remaining, pools))
        sizes.append(len(before))
        n_moved += len(before ^ after)
    document = {
        "n_hosts": len(agents),
        "n_pools": n_pools,
        "n_entries": len(entries),
        "n_data_centres": n_data_centres,
        "connections_min": min(sizes),
        "connections_mean": round(statistics.mean(sizes), 1),
        "connections_max": max(sizes),
        "moved_per_entry_host_that_left": round(n_moved / len(sample), 3),
        "first_ms": first_ms[0],
        "first_longest_slice_ms": first_ms[1],
        "change_ms": round(statistics.median(cost[0] for cost in change_ms), 1),
        "change_longest_slice_ms": max(cost[1] for cost in change_ms),
    }
    print(json.dumps(document, indent=1))


def _members(role: str, n_members: int, n_data_centres: int) -> list[PoolMember]:
    return [
        PoolMember(f"{role}-{index}", f"site-{index % n_data_centres}")
        for index in range(n_members)
    ]


if __name__ == "__main__":
    main()
