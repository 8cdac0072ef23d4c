"""Crash detection: a crash compared with a lost connection, in virtual time."""

from __future__ import annotations

import trio
import trio.testing

from poplarward.protocol.suspects import Verdict
from poplarward.requests.suspects import CrashDetector, SuspectTable


async def disconnect_while_another_ends(end_after_ms):
    """Return whether a disconnect counts as a crash while another request ends."""
    table = SuspectTable()
    watch = CrashDetector(table, lambda: False)

    async def end():
        with watch.track() as number:
            await trio.sleep(end_after_ms / 1000)
            watch.report_end(number)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end)
        await trio.testing.wait_all_tasks_blocked()
        with watch.track() as number:
            is_crash = await watch.report_disconnect(number, 7)
    assert table.verdict(7) is (Verdict.SUSPECT if is_crash else None)
    return is_crash


async def test_request_that_ends_later_shows_that_the_upstream_is_alive(autojump_clock):
    assert not await disconnect_while_another_ends(end_after_ms=100)


async def test_request_that_ends_at_once_does_not_rule_out_a_crash(autojump_clock):
    assert await disconnect_while_another_ends(end_after_ms=1)
