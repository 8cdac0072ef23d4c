"""Measure how long sliced work blocks the event loop."""

from __future__ import annotations

import time
from typing import Any

import trio

from poplarward.slices import Work, run_in_slices

__all__ = ["sliced_cost_ms"]


def sliced_cost_ms(work: Work[Any]) -> tuple[float, float]:
    """Return the processor time of the work and of its longest slice, in ms."""
    return trio.run(_run, work)


async def _run(work: Work[Any]) -> tuple[float, float]:
    longest_s = 0.0

    async def measure_slices() -> None:
        nonlocal longest_s
        last_s = time.process_time()
        while True:
            await trio.lowlevel.checkpoint()
            now_s = time.process_time()
            longest_s = max(longest_s, now_s - last_s)
            last_s = now_s

    async with trio.open_nursery() as nursery:
        nursery.start_soon(measure_slices)
        await trio.lowlevel.checkpoint()
        start_s = time.process_time()
        await run_in_slices(work)
        total_s = time.process_time() - start_s
        await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    return round(total_s * 1000, 1), round(longest_s * 1000, 1)
