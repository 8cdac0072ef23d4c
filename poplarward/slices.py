"""Divides long computations into slices, so that other tasks can run in between.

A computation is a generator that yields the number of units of work done since its
last yield and returns its result. A unit takes about as long as computing one hash.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

import trio

__all__ = ["Work", "run_at_once", "run_in_slices"]

UNITS_PER_SLICE = 2000

_Result = TypeVar("_Result")
Work = Generator[int, None, _Result]


async def run_in_slices(work: Work[_Result]) -> _Result:
    """Run a computation, yielding to other tasks after each slice; return its result.

    The data that the computation reads must not change in the meantime.
    """
    n_units = 0
    while True:
        try:
            n_units += next(work)
        except StopIteration as end:
            return end.value
        if n_units >= UNITS_PER_SLICE:
            n_units = 0
            await trio.lowlevel.checkpoint()


def run_at_once(work: Work[_Result]) -> _Result:
    """Run a computation without yielding to other tasks; return its result.

    Examples
    --------
    >>> def count_to(n):
    ...     for _ in range(n):
    ...         yield 1
    ...     return n
    >>> run_at_once(count_to(3))
    3
    """
    while True:
        try:
            next(work)
        except StopIteration as end:
            return end.value
