"""Divides long work, so that the event loop serves others in between.

Work is written as a generator that yields how many units it has done since it last
yielded, a unit being about as long as one hash, and returns its result.
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
    """Return the result of some work, giving way to other tasks after each slice.

    What the work looks at must not change meanwhile.
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
    """Return the result of some work without giving way.

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
