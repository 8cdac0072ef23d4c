"""Long computations yield to other tasks."""

from __future__ import annotations

import trio

from poplarward.slices import UNITS_PER_SLICE, run_at_once, run_in_slices


def count(n_steps, n_units):
    for _ in range(n_steps):
        yield n_units
    return n_steps


async def test_computation_yields_after_each_slice(nursery):
    n_turns = 0

    async def count_turns():
        nonlocal n_turns
        while True:
            n_turns += 1
            await trio.lowlevel.checkpoint()

    nursery.start_soon(count_turns)
    n_slices = 10
    assert await run_in_slices(count(n_slices, UNITS_PER_SLICE)) == n_slices
    # Ready tasks run in random order, so the last turn may come after the result.
    assert n_turns >= n_slices - 1
    nursery.cancel_scope.cancel()


async def test_short_computation_runs_without_yielding(nursery):
    with trio.CancelScope() as scope:
        scope.cancel()
        assert await run_in_slices(count(10, UNITS_PER_SLICE // 20)) == 10
    assert not scope.cancelled_caught


def test_result_is_the_same_at_once():
    assert run_at_once(count(7, UNITS_PER_SLICE)) == 7
