"""Measures for how long a piece of work keeps the event loop from other tasks."""

from __future__ import annotations

import time
from typing import Any

import trio

from poplarward.slices import Work, run_in_slices

__all__ = ["sliced_cost_ms"]


def sliced_cost_ms(work: Work[Any]) -> tuple[float, float]:
    """Return processor time of some work and its longest slice, in ms."""
    return trio.run(_run, work)


async def _run(work: Work[Any]) -> tuple[float, float]:
    longest_s = 0.0

    async def watch() -> None:
        nonlocal longest_s
        last_s = time.process_time()
        while True:
            await trio.lowlevel.checkpoint()
            now_s = time.process_time()
            longest_s = max(longest_s, now_s - last_s)
            last_s = now_s

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.lowlevel.checkpoint()
        began_s = time.process_time()
        await run_in_slices(work)
        total_s = time.process_time() - began_s
        await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    return round(total_s * 1000, 1), round(longest_s * 1000, 1)
