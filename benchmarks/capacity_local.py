"""Costs measured inside one process: memory per object, time per message."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import trio

from poplarward.coordination.rebalancing import (
    CostModel,
    LoadEstimator,
    Planner,
    PlannerWeights,
    initial_layers,
)
from poplarward.protocol import decode, encode
from poplarward.protocol.reports import AgentReport, UpstreamKind, UpstreamState
from poplarward.state import ConfigurationView, Resource
from poplarward.telemetry import RequestMetrics

__all__ = [
    "bytes_per_labelled_workspace",
    "bytes_per_resource",
    "plan_ms",
    "report_cost",
]

N_TIMED_CALLS = 2000
N_RESOURCES = 1200
N_WORKSPACES = 150


def _allocated_bytes(function: Callable[[], Any]) -> int:
    """Return the memory that the result of a function occupies, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = function()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return allocated


def bytes_per_resource() -> float:
    """Return the memory per workspace in the applied configuration, in bytes."""

    def build() -> ConfigurationView:
        view = ConfigurationView()
        for number in range(N_RESOURCES):
            spec = {
                "share": 1.0,
                "requests_per_s": 100.0,
                "tokens_per_s": 20_000.0,
                "services": ["drafts", "bookings"],
                "token_sha256": [f"{number:064x}"],
            }
            name = f"workspace-{number}"
            view.apply(Resource("workspaces", name, number + 1, spec))
        return view

    return _allocated_bytes(build) / N_RESOURCES


def bytes_per_labelled_workspace() -> float:
    """Return the memory of a workspace's histograms for both classes, in bytes."""

    async def build() -> RequestMetrics:
        metrics = RequestMetrics()
        for number in range(N_WORKSPACES):
            for priority_class in ("urgent", "drafting"):
                timer = metrics.timer(f"workspace-{number}", priority_class)
                timer.admitted()
                timer.ended()
                for outcome in ("ran", "not-run", "unknown"):
                    name = f"workspace-{number}"
                    metrics.count_outcome(name, priority_class, outcome)
        return metrics

    return _allocated_bytes(lambda: trio.run(build)) / N_WORKSPACES


def report_cost() -> dict[str, float]:
    """Return the size and the encoding and decoding times of a load report."""
    report = AgentReport(
        UpstreamKind.ENGINE, "group-117", UpstreamState.LIVE, 31, 4, 9000, 64, 1, 2, 77
    )
    data = encode(report)
    return {
        "bytes": len(data),
        "encode_us": _time_us(lambda: encode(report)),
        "decode_us": _time_us(lambda: decode(data)),
    }


def plan_ms(n_ranks: int, n_experts: int, n_layers: int) -> float:
    """Return the time to plan the rebalancing of a group with uneven load, in ms."""
    n_slots = max(1, -(-n_experts // n_ranks)) + 1
    layers = initial_layers(n_ranks, n_experts, n_layers, n_slots)
    estimator = LoadEstimator(n_layers, n_experts)
    for layer in range(n_layers):
        loads = [1.0 + (expert * 7 + layer * 3) % 11 for expert in range(n_experts)]
        estimator.observe(layer, loads, at_step=0)
    costs = CostModel(1 << 24, 1e9, 1e8, step_ms=40.0, slowed_share=0.2)
    planner = Planner(PlannerWeights(3, 1), costs)
    start_s = time.perf_counter()
    planner.plan(layers, estimator, [1.0] * n_ranks)
    return (time.perf_counter() - start_s) * 1000


def _time_us(function: Callable[[], Any]) -> float:
    start_s = time.perf_counter()
    for _ in range(N_TIMED_CALLS):
        function()
    return (time.perf_counter() - start_s) / N_TIMED_CALLS * 1e6
