"""Cost of the control plane in processes that serve no requests."""

from __future__ import annotations

from typing import Any

import trio

from .deployment import Deployment
from .relay import cpu_s, rss_bytes

__all__ = ["idle_cost"]

DATA_CENTRES = ("rennes", "brest", "vannes")
SETTLE_S = 8.0
MEASURED_S = 20.0


async def idle_cost(n_entries: int, n_agents: int) -> dict[str, Any]:
    """Measure processor time and memory of idle entry hosts and agents.

    Parameters
    ----------
    n_entries, n_agents : int
        Number of processes of each role; all agents serve the same plain upstream.
    """
    async with Deployment() as deployment:
        ledger = await deployment.start_standin("ledger", "ledger", [])
        url = f"http://{ledger.host}:7000"
        entries = [f"entry-{i}" for i in range(n_entries)]
        agents = [f"agent-{i}" for i in range(n_agents)]
        for i, name in enumerate(agents):
            await deployment.start_agent(
                name, DATA_CENTRES[i % 3], "plain", "ledger", url
            )
        for i, name in enumerate(entries):
            await deployment.start_entry(name, DATA_CENTRES[i % 3])
        await trio.sleep(SETTLE_S)
        before = _cpu(deployment, [*entries, *agents])
        await trio.sleep(MEASURED_S)
        after = _cpu(deployment, [*entries, *agents])
        memory = {
            name: rss_bytes(deployment.processes[name].popen.pid)
            for name in [*entries, *agents]
        }
    cpu_fractions = {name: (after[name] - before[name]) / MEASURED_S for name in after}
    return {
        "entries": n_entries,
        "agents": n_agents,
        "entry_core_share": _rounded_max(cpu_fractions, entries),
        "agent_core_share": _rounded_max(cpu_fractions, agents),
        "entry_bytes": max(memory[name] for name in entries),
        "agent_bytes": max(memory[name] for name in agents),
    }


def _cpu(deployment: Deployment, names: list[str]) -> dict[str, float]:
    return {name: cpu_s(deployment.processes[name].popen.pid) for name in names}


def _rounded_max(cpu_fractions: dict[str, float], names: list[str]) -> float:
    return round(max(cpu_fractions[name] for name in names), 4)
