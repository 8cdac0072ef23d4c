"""Every process of a deployment is restarted in turn under load; nothing is lost."""

from __future__ import annotations

import random

import trio

from benchmarks.deployment import Deployment
from benchmarks.rolling_restart import RollingRestart, Tallies

N_DRAFT_CALLERS, N_LOOKUP_CALLERS, N_DEPOSIT_CALLERS = 4, 2, 2
LEAST_SENT = {"drafting": 8, "lookup": 8, "deposit": 8}


async def test_rolling_restart_under_load_loses_nothing():
    tallies = Tallies()
    is_over = trio.Event()
    async with Deployment() as deployment:
        rolling = RollingRestart(
            deployment, 2, 2, random.Random(1), {"address_keep_ms": 1000}
        )
        await rolling.start()

        async def send_repeatedly(kind):
            while not is_over.is_set():
                await rolling.send(kind, tallies)

        async with trio.open_nursery() as nursery:
            for _ in range(N_DRAFT_CALLERS):
                nursery.start_soon(send_repeatedly, "drafting")
            for _ in range(N_LOOKUP_CALLERS):
                nursery.start_soon(send_repeatedly, "lookup")
            for _ in range(N_DEPOSIT_CALLERS):
                nursery.start_soon(send_repeatedly, "deposit")
            await rolling.restart_all()
            is_over.set()
        n_doubled = await rolling.n_doubled()
        await rolling.close()
    assert len(rolling.stops_ms) == 5
    for kind, tally in tallies.all().items():
        assert tally.n_whole == tally.n_sent >= LEAST_SENT[kind], kind
        assert tally.outcomes["unknown"] == 0, kind
    assert n_doubled == 0
