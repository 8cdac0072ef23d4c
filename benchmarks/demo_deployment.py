"""Starts the processes of the demonstration and applies its configuration."""

from __future__ import annotations

import trio

from poplarward.protocol.generated.poplarward.v1 import operations_pb2 as pb

from .deployment import Deployment, ledger_service, model_group, workspace

__all__ = ["N_ENTRIES", "N_LEDGERS", "print_progress", "start_deployment"]

DATA_CENTRES = ("rennes", "brest", "vannes")
N_ENTRIES = 6
N_ENGINES = 4
N_LEDGERS = 3
N_RANKS = 4


def print_progress(text: str) -> None:
    """Print a progress line and flush it."""
    print(text, flush=True)


async def start_deployment(deployment: Deployment) -> None:
    """Start every process and apply the configuration."""
    print_progress("starting the platform, engines and booking services ...")
    for i in range(N_ENGINES):
        await _start_upstream(deployment, f"engine-{i}", "engine", "drafts", i)
    await _start_rank_group(deployment)
    for i in range(N_LEDGERS):
        await _start_upstream(deployment, f"ledger-{i}", "plain", "bookings", i)
    print_progress("starting the entry hosts ...")
    for i in range(N_ENTRIES):
        await deployment.start_entry(f"entry-{i}", DATA_CENTRES[i % 3])
    print_progress("applying the configuration by remote procedure call ...")
    resources = _resources()
    for resource in resources:
        await deployment.apply("entry-0", resource)
    await _wait_until_applied(deployment, {resource.name for resource in resources})


async def _start_upstream(
    deployment: Deployment, name: str, kind: str, upstream: str, number: int
) -> None:
    """Start the stand-in of an upstream and the agent in front of it."""
    standin = "engine" if kind == "engine" else "ledger"
    process = await deployment.start_standin(name, standin, [])
    await deployment.start_agent(
        f"agent-{name}",
        DATA_CENTRES[number % len(DATA_CENTRES)],
        kind,
        upstream,
        f"http://{process.host}:7000",
    )


async def _start_rank_group(deployment: Deployment) -> None:
    """Start the hosts of the rank group and the agent in front of each."""
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


def _resources() -> list[pb.Resource]:
    """Return the resources of the demonstration's configuration."""
    return [
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


async def _wait_until_applied(deployment: Deployment, names: set[str]) -> None:
    """Wait until every entry host has applied the resources."""
    for i in range(N_ENTRIES):
        while True:
            listed = await deployment.operate(
                f"entry-{i}", "List", pb.ListRequest(), pb.ListResponse
            )
            if names <= {resource.name for resource in listed.resources}:
                break
            await trio.sleep(0.1)
    print_progress(f"configuration in force on {N_ENTRIES} entry hosts")
