from __future__ import annotations

import pytest
import trio

from benchmarks.fairness import run_loads, scenarios, share_error
from poplarward.errors import Refused
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.fair_queue import Demand, FairQueue


def demand(workspace, n_tokens=10, share=1.0, urgent=False, deadline_ms=1e6):
    kind = PriorityClass.URGENT if urgent else PriorityClass.DRAFTING
    return Demand(kind, workspace, share, n_tokens, deadline_ms)


async def run(queue, its_demand, order=None):
    async with queue.hold(its_demand):
        if order is not None:
            order.append(its_demand.workspace)
        await trio.sleep(its_demand.n_tokens / 100)


async def test_served_in_proportion_to_shares_and_urgent_first(autojump_clock, nursery):
    queue, order = FairQueue(1), []
    nursery.start_soon(run, queue, demand("first"), order)
    await trio.sleep(0.01)
    for _ in range(3):
        nursery.start_soon(run, queue, demand("small"), order)
        await trio.sleep(0.001)
        nursery.start_soon(run, queue, demand("large", share=3.0), order)
        await trio.sleep(0.001)
    nursery.start_soon(run, queue, demand("urgent", urgent=True), order)
    await trio.sleep(5)
    assert order[:2] == ["first", "urgent"]
    # Three tokens of "large" for each of "small".
    assert order[2:] == ["small", "large", "large", "large", "small", "small"]


async def test_late_request_is_refused_at_once_with_a_retry_time(
    autojump_clock, nursery
):
    queue = FairQueue(2)
    await run(queue, demand("a", n_tokens=100))
    for _ in range(6):
        nursery.start_soon(run, queue, demand("a", n_tokens=100))
    await trio.sleep(0.01)
    started_at = trio.current_time()
    with pytest.raises(Refused) as caught:
        await run(queue, demand("a", n_tokens=100, deadline_ms=1500))
    assert trio.current_time() == started_at
    assert 500 <= caught.value.retry_after_ms <= 5000
    await trio.sleep(10)
    # A free slot is granted whatever the estimate says.
    await run(queue, demand("a", n_tokens=100, deadline_ms=1))


async def test_flooding_workspace_fills_the_queue_with_its_own_requests_only(
    autojump_clock, nursery
):
    queue, refused, served = FairQueue(1), [], []

    async def ask(workspace):
        try:
            await run(queue, demand(workspace), served)
        except Refused:
            refused.append(workspace)

    for _ in range(30):
        nursery.start_soon(ask, "flooding")
        await trio.sleep(0.001)
    for _ in range(3):
        nursery.start_soon(ask, "steady")
        await trio.sleep(0.001)
    await trio.sleep(20)
    assert refused.count("steady") == 0
    assert served.count("steady") == 3
    assert queue.n_waiting == 0
    assert len(refused) + len(served) == 33


async def test_cancelled_request_releases_its_queue_entry(autojump_clock, nursery):
    queue, order = FairQueue(1), []
    nursery.start_soon(run, queue, demand("first"), order)
    await trio.sleep(0.01)
    with trio.move_on_after(0.05):
        await run(queue, demand("a", n_tokens=1000), order)
    assert queue.n_waiting == 0
    nursery.start_soon(run, queue, demand("b"), order)
    await trio.sleep(0.01)
    nursery.start_soon(run, queue, demand("a", n_tokens=1), order)
    nursery.start_soon(run, queue, demand("b", n_tokens=500), order)
    await trio.sleep(20)
    assert order[0] == "first"
    # The cancelled request was not charged: "a" goes before "b"'s second.
    assert order[1:] in (["b", "a", "b"], ["a", "b", "b"])


def test_urgent_work_does_not_wait_behind_drafting():
    for name, loads in scenarios().items():
        if name.startswith("drafting"):
            result = run_loads(FairQueue, loads, 16, 30.0, seed=3)
            assert result["urgent"]["refused"] == 0
            assert result["urgent"]["wait_p99_ms"] < 1000
            assert result["drafts"]["late"] == 0


def test_tokens_follow_the_shares_under_overload():
    loads = scenarios()["shares 1:2:4"]
    result = run_loads(FairQueue, loads, 16, 60.0, seed=3)
    assert share_error(result, loads) < 0.15
