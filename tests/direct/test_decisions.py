from __future__ import annotations

import random

import cbor2
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from poplarward.direct import host_heartbeats
from poplarward.direct.admission_queue import (
    MAX_RETRY_AFTER_MS,
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    Refused,
    RetryAfterSchedule,
)
from poplarward.direct.host_heartbeats import (
    HeartbeatExchange,
    HostHeartbeat,
    HostState,
    decode_heartbeat,
    encode_heartbeat,
)
from poplarward.direct.pause_tracker import can_end_in_time
from poplarward.direct.placement import Candidate, choose_upstream
from poplarward.direct.retry_budgets import (
    ALLOTTED_FRACTION,
    MAX_SAVED_RATIO,
    HostRetryBudget,
)
from poplarward.direct.routing_table import Accepted, Denied, RoutingTable
from poplarward.direct.streams import EventSplitter, StreamError
from poplarward.errors import DecodeError
from tests.direct.relay_harness import ROUTES, configuration, event, route


@pytest.mark.parametrize("n_hosts", [1, 13, 21])
def test_retries_of_all_hosts_stay_within_the_bound(n_hosts):
    """A fault makes every request of every host want three repeats for a minute."""
    ratio, fixed, window_s = 0.2, 191.0, 10.0
    shares = [HostRetryBudget(ratio, fixed, window_s) for _ in range(n_hosts)]
    repeats, requests = [], []
    rng = random.Random(n_hosts)
    for tick in range(6_000):
        now_s = tick / 100
        share = rng.choice(shares)
        share.record_request()
        requests.append(now_s)
        repeats += [now_s] * sum(share.take(now_s, n_hosts) for _ in range(3))
    for start in range(50):
        n_repeats = sum(start <= at < start + window_s for at in repeats)
        n_requests = sum(start <= at < start + window_s for at in requests)
        assert n_repeats <= ratio * n_requests + fixed


def test_hosts_that_start_again_do_not_break_the_retry_bound():
    fixed = 191.0
    n_repeats = 0
    for _ in range(2):  # All of 13 hosts are killed within one window.
        shares = [HostRetryBudget(0.2, fixed, 10.0) for _ in range(13)]
        n_repeats += sum(share.take(0.0, 13) for share in shares for _ in range(50))
    assert n_repeats <= fixed
    assert ALLOTTED_FRACTION * 2 <= 1 and MAX_SAVED_RATIO >= 1


def test_least_loaded_upstream_is_chosen():
    loads = [Candidate(f"u{n}", n, 6) for n in range(6)]
    assert choose_upstream(loads, (), random.Random(1)).id == "u0"
    assert choose_upstream(loads, {"u0"}, random.Random(1)).id == "u1"
    assert choose_upstream([], (), random.Random(1)) is None


def test_hosts_that_decide_at_once_choose_apart():
    """13 hosts see 16 idle upstreams at the same moment."""
    idle = [Candidate(f"u{n}", 0, 6) for n in range(16)]
    chosen = [choose_upstream(idle, (), random.Random(seed)).id for seed in range(13)]
    assert max(chosen.count(name) for name in chosen) <= 3


def test_failing_and_slow_upstreams_are_avoided_while_others_have_room():
    failing = Candidate("failing", 0, 6, failure_share=0.4)
    slow = Candidate("slow", 0, 6, slowness=5.0)
    good = Candidate("good", 3, 6)
    assert choose_upstream([failing, slow, good], (), random.Random(1)).id == "good"


def test_only_upstream_is_tried_again():
    only = Candidate("u0", 1, 6)
    assert choose_upstream([only], {"u0"}, random.Random(1)).id == "u0"


def test_longest_prefix_wins_and_ends_at_a_slash():
    table = RoutingTable(
        configuration(
            routes=(
                *ROUTES,
                route("/read/deep/", ROUTES[0].repeatability),
            )
        )
    )
    assert table.route("shop.example", "/read/deep/1?a=/x/").name == "read/deep"
    assert table.route("shop.example", "/read/deeper").name == "read"
    assert table.route("shop.example", "/readings") is None
    assert table.route("other.example", "/read/1") is None


def test_priority_of_a_workspace_goes_first():
    base = configuration()
    workspace = base.workspaces[0]._replace(priority=4)
    table = RoutingTable(base._replace(workspaces=(workspace,)))
    request = _request("/read/1", "k-1")
    accepted = table.accept(request)
    assert isinstance(accepted, Accepted) and accepted.priority == 4
    assert table.accept(request._replace(key="k-9")) == Denied(401, "unknown key")


def _request(path, key):
    from poplarward.direct.model import CallerRequest

    return CallerRequest("r", "shop.example", path, 100.0, key, None, 0, 0, None)


class Places:
    """Places that a test frees."""

    def __init__(self, n_places):
        self.n_free = n_places

    def take(self, ticket):
        if not self.n_free:
            return None
        self.n_free -= 1
        return "u"

    def give_back(self, upstream_id):
        assert upstream_id == "u"
        self.n_free += 1


async def test_place_of_a_caller_who_leaves_meanwhile_is_not_lost():
    places = Places(0)
    room = AdmissionQueue(places.take, places.give_back)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(room.admit, AdmissionRequest(1, 1e12, 5_000.0))
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
        places.n_free += 1
        room.dispatch()
        assert places.n_free == 0
    assert places.n_free == 1


async def test_urgent_and_on_time_requests_go_first():
    places = Places(0)
    room = AdmissionQueue(places.take, places.give_back)
    order = []
    far = 1e12

    async def wait(name, priority, on_time_until_ms):
        placed = await room.admit(AdmissionRequest(priority, on_time_until_ms, 5_000.0))
        assert isinstance(placed, Admitted)
        order.append(name)

    async with trio.open_nursery() as nursery:
        for name, priority, until in (
            ("late", 1, 0.0),
            ("drafting", 1, far),
            ("urgent", 0, far),
        ):
            for _ in range(40):
                room.record_release()  # A rate at which nobody is refused.
            nursery.start_soon(wait, name, priority, until)
            await trio.testing.wait_all_tasks_blocked()
        for _ in range(3):
            places.n_free += 1
            room.dispatch()
            await trio.testing.wait_all_tasks_blocked()
    assert order == ["urgent", "drafting", "late"]


async def test_late_callers_who_wait_send_nobody_away_who_can_be_on_time():
    """After an outage callers who have come back wait at every host."""
    places = Places(0)
    room = AdmissionQueue(places.take, places.give_back)
    results = []

    async def call(on_time_until_ms, max_wait_ms):
        wanted = AdmissionRequest(1, on_time_until_ms, max_wait_ms)
        results.append((on_time_until_ms, await room.admit(wanted)))

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            room.record_release()  # Some one place in a second.
        for _ in range(3):
            nursery.start_soon(call, 0.0, 60_000.0)
            await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(call, 1e12, 3_500.0)
        await trio.testing.wait_all_tasks_blocked()
        assert results == []
        places.n_free = 1
        room.dispatch()
        await trio.testing.wait_all_tasks_blocked()
        assert [until for until, _ in results] == [1e12]
        nursery.cancel_scope.cancel()


async def test_burst_beyond_the_places_is_refused_at_once():
    """50 requests come at once where some four places are freed in a second."""
    places = Places(6)
    room = AdmissionQueue(places.take, places.give_back)
    results = []

    async def call():
        results.append(await room.admit(AdmissionRequest(1, 1e12, 500.0)))

    async with trio.open_nursery() as nursery:
        for _ in range(16):
            room.record_release()
        for _ in range(50):
            nursery.start_soon(call)
        await trio.testing.wait_all_tasks_blocked()
        n_refused_at_once = sum(isinstance(result, Refused) for result in results)
        assert n_refused_at_once >= 40
        assert room.n_waiting <= 4
    refused = [result for result in results if isinstance(result, Refused)]
    assert len(results) - len(refused) == 6
    assert len({result.retry_after_ms for result in refused}) > 3


def test_callers_return_one_after_the_other_and_not_too_late():
    schedule = RetryAfterSchedule()
    times = [schedule.next_delay_ms(0.0, freed_per_s=10.0) for _ in range(40)]
    assert times == sorted(times)
    assert all(b - a >= 99 for a, b in zip(times, times[1:], strict=False) if b < 2_400)
    assert max(times) <= MAX_RETRY_AFTER_MS


@given(st.lists(st.integers(1, 40), max_size=12), st.integers(0, 12))
def test_events_come_whole_and_once_however_they_are_cut(cuts, n_events):
    data = b"".join(event(number) for number in range(1, n_events + 1))
    splitter = EventSplitter()
    found, rest = b"", data
    for n_bytes in cuts:
        found += splitter.feed(rest[:n_bytes])
        assert found == b"" or found.endswith(b"\n\n")
        rest = rest[n_bytes:]
    found += splitter.feed(rest)
    assert found == data
    splitter.restart()
    assert splitter.feed(data) == b""


def test_missing_event_breaks_the_stream():
    splitter = EventSplitter()
    splitter.feed(event(1))
    with pytest.raises(StreamError):
        splitter.feed(event(3))


@given(st.binary(max_size=60))
def test_any_datagram_is_a_beat_or_refused(data):
    try:
        beat = decode_heartbeat(data)
    except DecodeError:
        return
    assert isinstance(beat, HostHeartbeat)


def test_beats_of_earlier_and_later_releases_are_understood():
    beat = HostHeartbeat("a", "s", 1, "10.0.0.1:1", True, {"u": 2}, {}, False)
    version, *fields = cbor2.loads(encode_heartbeat(beat))
    assert decode_heartbeat(cbor2.dumps([version, *fields[:8]])) == beat
    assert decode_heartbeat(cbor2.dumps([version, *fields, "new"])) == beat


def test_beat_of_another_format_is_refused():
    beat = HostHeartbeat("a", "s", 1, "10.0.0.1:1", True, {}, {}, False)
    data = bytearray(encode_heartbeat(beat))
    data[1] = 2
    with pytest.raises(DecodeError):
        decode_heartbeat(bytes(data))


def test_slow_rank_of_a_group_gets_few_requests():
    """One rank of 16 takes 1.6 times as long; a step alone costs as 6.7 requests."""
    n_in_hand = dict.fromkeys((f"u{n}" for n in range(16)), 0)
    rng = random.Random(1)
    for _ in range(64):
        candidates = [
            Candidate(name, n, 6, 1.6 if name == "u0" else 1.0, base_load=6.7)
            for name, n in n_in_hand.items()
        ]
        n_in_hand[choose_upstream(candidates, (), rng).id] += 1
    assert n_in_hand["u0"] <= 1
    assert max(n_in_hand.values()) <= 5


def test_slow_rank_is_not_filled_when_the_others_are():
    """A burst fills the group; each request at the slow rank holds up all passes."""
    others = [Candidate(f"u{n}", 5, 5) for n in range(5)]
    rng = random.Random(1)
    for slowness, n_taken in ((4.2, 1), (12.0, 1), (2.0, 2)):
        slow = Candidate("slow", 0, 5, slowness=slowness)
        while choose_upstream([*others, slow], (), rng, 1.0) is not None:
            slow = slow._replace(n_in_flight=slow.n_in_flight + 1)
        assert n_taken <= slow.n_in_flight <= n_taken + 1


def test_estimate_of_a_length_counts_up_to_the_bound_only():
    """A caller's estimate of 990 tokens where 396 are the most, at a usual pace."""
    request = _request("/write/1", "k-1")._replace(
        max_answer_tokens=396, expected_tokens=990
    )
    assert request.estimated_answer_tokens == 396
    assert request._replace(expected_tokens=60).estimated_answer_tokens == 60
    assert request._replace(expected_tokens=None).estimated_answer_tokens is None
    n_events = request.estimated_answer_tokens / 6
    assert can_end_in_time(n_events, pause_ms=62.0, left_ms=7_900.0)
    assert not can_end_in_time(990 / 6, pause_ms=62.0, left_ms=7_900.0)
    assert can_end_in_time(n_events, pause_ms=None, left_ms=1.0)


class Hosts:
    """Load exchanges that hear each other's beats as often as a test says."""

    def __init__(self, *names):
        self.serving = set(names)
        self.exchanges = {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.exchanges[name] = HeartbeatExchange(
            name,
            name,
            lambda: HostState({}, {}),
            lambda: name in self.serving,
            lambda loads: None,
        )

    def beat(self):
        for exchange in self.exchanges.values():
            if exchange.host not in self.serving:
                continue
            beat = HostHeartbeat(
                exchange.host,
                exchange.start_id,
                exchange._number,
                exchange.host,
                True,
                {},
                {},
                exchange._has_lead,
                link_mbps=exchange._link_mbps,
            )
            exchange._number += 1
            for other in self.exchanges.values():
                if other is not exchange:
                    other._take(beat, (exchange.host, 1))

    def leaders(self):
        return [
            n for n, exchange in self.exchanges.items() if exchange.update_leadership()
        ]


def test_host_that_returns_does_not_take_the_lead_from_one_that_has_it():
    hosts = Hosts("a", "b", "c")
    hosts.beat()
    assert hosts.leaders() == ["a"]
    hosts.serving.discard("a")
    for exchange in hosts.exchanges.values():
        exchange._peers.pop("a", None)
    hosts.beat()
    assert hosts.leaders() == ["b"]
    hosts.serving.add("a")
    hosts.start("a")
    hosts.beat()
    assert hosts.leaders() == ["b"]
    hosts.beat()
    assert hosts.leaders() == ["b"]


def test_hosts_that_start_together_agree_on_the_first_by_name(monkeypatch):
    """All lost power; each serves as soon as it has read the store."""
    clock_ms = [0.0]
    monkeypatch.setattr(host_heartbeats, "now_ms", lambda: clock_ms[0])
    monkeypatch.setattr(
        host_heartbeats, "elapsed_ms", lambda since_ms: clock_ms[0] - since_ms
    )
    hosts = Hosts("a", "b")
    hosts.exchanges["a"]._opened_at_ms = 250.0
    hosts.exchanges["b"]._opened_at_ms = 0.0
    hosts.serving = {"b"}
    clock_ms[0] = 200.0
    assert hosts.leaders() == []
    hosts.serving = {"a", "b"}
    clock_ms[0] = 300.0
    hosts.beat()
    clock_ms[0] = 450.0
    assert hosts.leaders() == []
    clock_ms[0] = 700.0
    hosts.beat()
    assert hosts.leaders() == ["a"]
    assert hosts.exchanges["a"].ms_since_other_leader() > 1e6


def test_host_with_the_fastest_link_takes_the_lead():
    """A map of 72 ranks is 0.7 MB: half a second on the slowest links."""
    hosts = Hosts("a", "b", "c")
    for name, link_mbps in (("a", 14.0), ("b", 100.0), ("c", 100.0)):
        hosts.exchanges[name]._link_mbps = link_mbps
    hosts.beat()
    assert hosts.leaders() == ["b"]


def test_leader_that_gives_up_the_lead_is_not_waited_for():
    hosts = Hosts("a", "b")
    hosts.exchanges["b"]._has_lead = True
    hosts.beat()
    assert hosts.exchanges["a"].ms_since_other_leader() < 1_000
    hosts.exchanges["b"]._has_lead = False
    hosts.beat()
    assert hosts.exchanges["a"].ms_since_other_leader() > 1e6


def test_of_two_leaders_that_hear_each_other_again_one_stays():
    hosts = Hosts("a", "b")
    assert hosts.leaders() == ["a", "b"]  # Cut off from each other.
    hosts.beat()
    assert hosts.leaders() == ["a"]
