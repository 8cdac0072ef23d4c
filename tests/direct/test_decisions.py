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
from poplarward.direct.heartbeat_format import (
    HostHeartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from poplarward.direct.host_heartbeats import (
    HeartbeatExchange,
    HostState,
)
from poplarward.direct.pause_tracker import can_end_in_time
from poplarward.direct.placement import Candidate, choose_upstream
from poplarward.direct.retry_budgets import (
    ALLOTTED_FRACTION,
    MAX_SAVED_RATIO,
    HostRetryBudget,
    RetryBudgets,
)
from poplarward.direct.routing_table import Accepted, Denied, RoutingTable
from poplarward.direct.streams import ResumableStream
from poplarward.errors import DecodeError, StreamError
from tests.direct.relay_harness import ROUTES, configuration, event, route


@pytest.mark.parametrize("n_hosts", [1, 13, 21])
def test_retries_of_all_hosts_stay_within_the_budget(n_hosts):
    """A fault makes every request of every host ask for three retries for a minute."""
    ratio, fixed, window_s = 0.2, 191.0, 10.0
    budgets = [HostRetryBudget(ratio, fixed, window_s) for _ in range(n_hosts)]
    retries, requests = [], []
    rng = random.Random(n_hosts)
    for tick in range(6_000):
        now_s = tick / 100
        budget = rng.choice(budgets)
        budget.record_request()
        requests.append(now_s)
        retries += [now_s] * sum(budget.take(now_s, n_hosts) for _ in range(3))
    for start in range(50):
        n_retries = sum(start <= at < start + window_s for at in retries)
        n_requests = sum(start <= at < start + window_s for at in requests)
        assert n_retries <= ratio * n_requests + fixed


@pytest.mark.parametrize("n_hosts", [1, 13, 21])
@pytest.mark.parametrize("calm_s", [0, 40])
def test_retries_stay_within_the_budget_when_all_requests_fail(n_hosts, calm_s):
    """Hosts that have saved retries, on a clock that started long before them.

    Each host is also restarted once within a window.
    """
    ratio, fixed, window_s, started_s, per_s = 0.2, 191.0, 10.0, 5_000.0, 40
    budgets = [HostRetryBudget(ratio, fixed, window_s) for _ in range(n_hosts)]
    retries, requests = [], []
    rng = random.Random(n_hosts)
    for tick in range(int((calm_s + 20) * per_s)):
        now_s = started_s + tick / per_s
        if tick == int((calm_s + 5) * per_s):
            budgets = [HostRetryBudget(ratio, fixed, window_s) for _ in range(n_hosts)]
        budget = rng.choice(budgets)
        budget.record_request()
        requests.append(now_s)
        n_wanted = 3 if tick >= calm_s * per_s else int(tick % 20 == 0)
        retries += [now_s] * sum(budget.take(now_s, n_hosts) for _ in range(n_wanted))
    for start in range(4 * (calm_s + 10)):
        from_s = started_s + start / 4
        n_retries = sum(from_s <= at < from_s + window_s for at in retries)
        n_requests = sum(from_s <= at < from_s + window_s for at in requests)
        assert n_retries <= ratio * n_requests + fixed


def test_restarting_hosts_stay_within_the_retry_budget():
    fixed = 191.0
    n_retries = 0
    for _ in range(2):  # All 13 hosts are killed within one window.
        budgets = [HostRetryBudget(0.2, fixed, 10.0) for _ in range(13)]
        n_retries += sum(budget.take(0.0, 13) for budget in budgets for _ in range(50))
    assert n_retries <= fixed
    assert ALLOTTED_FRACTION * 2 <= 1 and MAX_SAVED_RATIO >= 1


def test_each_decision_on_a_retry_is_reported_with_its_service():
    decisions = []
    budgets = RetryBudgets(
        0.0, 4.0, 1e9, lambda: 4, lambda *decision: decisions.append(decision)
    )
    while budgets.for_service("app").take():
        pass
    assert decisions[0] == ("app", True) and decisions[-1] == ("app", False)


def test_least_loaded_upstream_is_chosen():
    loads = [Candidate(f"u{n}", n, 6) for n in range(6)]
    assert choose_upstream(loads, (), random.Random(1)).id == "u0"
    assert choose_upstream(loads, {"u0"}, random.Random(1)).id == "u1"
    assert choose_upstream([], (), random.Random(1)) is None


def test_hosts_that_decide_at_once_choose_different_upstreams():
    """13 hosts choose among 16 idle upstreams at the same time."""
    idle = [Candidate(f"u{n}", 0, 6) for n in range(16)]
    chosen = [choose_upstream(idle, (), random.Random(seed)).id for seed in range(13)]
    assert max(chosen.count(name) for name in chosen) <= 3


def test_failing_and_slow_upstreams_are_avoided_while_others_have_capacity():
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


def test_priority_of_a_workspace_overrides_that_of_the_route():
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


class Slots:
    """Slots that a test frees."""

    def __init__(self, n_slots):
        self.n_free = n_slots

    def take(self, ticket):
        if not self.n_free:
            return None
        self.n_free -= 1
        return "u"

    def release(self, upstream_id):
        assert upstream_id == "u"
        self.n_free += 1


async def test_slot_assigned_to_a_caller_that_leaves_is_returned():
    slots = Slots(0)
    queue = AdmissionQueue(slots.take, slots.release)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.admit, AdmissionRequest(1, 1e12, 5_000.0))
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
        slots.n_free += 1
        queue.dispatch()
        assert slots.n_free == 0
    assert slots.n_free == 1


async def test_urgent_and_on_time_requests_go_first():
    slots = Slots(0)
    queue = AdmissionQueue(slots.take, slots.release)
    order = []
    far = 1e12

    async def wait(name, priority, latest_start_ms):
        admitted = await queue.admit(
            AdmissionRequest(priority, latest_start_ms, 5_000.0)
        )
        assert isinstance(admitted, Admitted)
        order.append(name)

    async with trio.open_nursery() as nursery:
        for name, priority, until in (
            ("late", 1, 0.0),
            ("drafting", 1, far),
            ("urgent", 0, far),
        ):
            for _ in range(40):
                queue.record_release()  # A release rate at which nothing is refused.
            nursery.start_soon(wait, name, priority, until)
            await trio.testing.wait_all_tasks_blocked()
        for _ in range(3):
            slots.n_free += 1
            queue.dispatch()
            await trio.testing.wait_all_tasks_blocked()
    assert order == ["urgent", "drafting", "late"]


async def test_queued_late_callers_cause_no_refusal_of_those_that_can_be_on_time():
    """After an outage, returning callers are queued at every host."""
    slots = Slots(0)
    queue = AdmissionQueue(slots.take, slots.release)
    results = []

    async def call(latest_start_ms, max_wait_ms):
        request = AdmissionRequest(1, latest_start_ms, max_wait_ms)
        results.append((latest_start_ms, await queue.admit(request)))

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            queue.record_release()  # About one slot per second.
        for _ in range(3):
            nursery.start_soon(call, 0.0, 60_000.0)
            await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(call, 1e12, 3_500.0)
        await trio.testing.wait_all_tasks_blocked()
        assert results == []
        slots.n_free = 1
        queue.dispatch()
        await trio.testing.wait_all_tasks_blocked()
        assert [until for until, _ in results] == [1e12]
        nursery.cancel_scope.cancel()


async def test_burst_beyond_the_slots_is_refused_at_once():
    """50 requests arrive at once while about four slots per second are released."""
    slots = Slots(6)
    queue = AdmissionQueue(slots.take, slots.release)
    results = []

    async def call():
        results.append(await queue.admit(AdmissionRequest(1, 1e12, 500.0)))

    async with trio.open_nursery() as nursery:
        for _ in range(16):
            queue.record_release()
        for _ in range(50):
            nursery.start_soon(call)
        await trio.testing.wait_all_tasks_blocked()
        n_refused_at_once = sum(isinstance(result, Refused) for result in results)
        assert n_refused_at_once >= 40
        assert queue.n_waiting <= 4
    refused = [result for result in results if isinstance(result, Refused)]
    assert len(results) - len(refused) == 6
    assert len({result.retry_after_ms for result in refused}) > 3


def test_retry_after_delays_are_spaced_and_bounded():
    schedule = RetryAfterSchedule()
    times = [schedule.next_delay_ms(0.0, freed_per_s=10.0) for _ in range(40)]
    assert times == sorted(times)
    assert all(b - a >= 99 for a, b in zip(times, times[1:], strict=False) if b < 2_400)
    assert max(times) <= MAX_RETRY_AFTER_MS


@given(st.lists(st.integers(1, 40), max_size=12), st.integers(0, 12))
def test_events_are_returned_whole_and_once_however_they_are_chunked(cuts, n_events):
    data = b"".join(event(number) for number in range(1, n_events + 1))
    stream = ResumableStream()
    found, rest = b"", data
    for n_bytes in cuts:
        found += stream.feed(rest[:n_bytes])
        assert found == b"" or found.endswith(b"\n\n")
        rest = rest[n_bytes:]
    found += stream.feed(rest)
    assert found == data
    stream.begin_attempt()
    assert stream.feed(data) == b""


def test_missing_event_breaks_the_stream():
    stream = ResumableStream()
    stream.feed(event(1))
    with pytest.raises(StreamError):
        stream.feed(event(3))


@given(st.binary(max_size=60))
def test_any_datagram_is_a_heartbeat_or_refused(data):
    try:
        heartbeat = decode_heartbeat(data)
    except DecodeError:
        return
    assert isinstance(heartbeat, HostHeartbeat)


def test_heartbeats_of_earlier_and_later_releases_are_decoded():
    heartbeat = HostHeartbeat("a", "s", 1, "10.0.0.1:1", True, {"u": 2}, {}, False)
    version, *fields = cbor2.loads(encode_heartbeat(heartbeat))
    assert decode_heartbeat(cbor2.dumps([version, *fields[:8]])) == heartbeat
    assert decode_heartbeat(cbor2.dumps([version, *fields, "new"])) == heartbeat


def test_heartbeat_of_another_format_is_refused():
    heartbeat = HostHeartbeat("a", "s", 1, "10.0.0.1:1", True, {}, {}, False)
    data = bytearray(encode_heartbeat(heartbeat))
    data[1] = 2
    with pytest.raises(DecodeError):
        decode_heartbeat(bytes(data))


def test_slow_rank_of_a_group_gets_few_requests():
    """One rank of 16 takes 1.6 times as long; a step alone costs as 6.7 requests do."""
    n_in_flight = dict.fromkeys((f"u{n}" for n in range(16)), 0)
    rng = random.Random(1)
    for _ in range(64):
        candidates = [
            Candidate(name, n, 6, 1.6 if name == "u0" else 1.0, base_load=6.7)
            for name, n in n_in_flight.items()
        ]
        n_in_flight[choose_upstream(candidates, (), rng).id] += 1
    assert n_in_flight["u0"] <= 1
    assert max(n_in_flight.values()) <= 5


def test_slow_rank_is_not_filled_when_the_others_are_full():
    """A burst fills the group; each request at the slow rank delays all passes."""
    others = [Candidate(f"u{n}", 5, 5) for n in range(5)]
    rng = random.Random(1)
    for slowness, n_taken in ((4.2, 1), (12.0, 1), (2.0, 2)):
        slow = Candidate("slow", 0, 5, slowness=slowness)
        while choose_upstream([*others, slow], (), rng, 1.0) is not None:
            slow = slow._replace(n_in_flight=slow.n_in_flight + 1)
        assert n_taken <= slow.n_in_flight <= n_taken + 1


def test_length_estimate_is_limited_to_the_upper_bound():
    """A caller estimates 990 tokens where at most 396 are allowed, at normal speed."""
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
    """Heartbeat exchanges that receive each other's heartbeats when a test says so."""

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

    def exchange_heartbeats(self):
        for exchange in self.exchanges.values():
            if exchange.host not in self.serving:
                continue
            heartbeat = HostHeartbeat(
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
                    other._take(heartbeat, (exchange.host, 1))

    def leaders(self):
        return [
            n for n, exchange in self.exchanges.items() if exchange.update_leadership()
        ]


def test_hosts_that_are_cut_off_from_each_other_stay_within_the_retry_budget(
    monkeypatch,
):
    """A host that hears of no other must not take the whole budget for its own."""
    clock_ms = [5_000_000.0]
    monkeypatch.setattr(host_heartbeats, "now_ms", lambda: clock_ms[0])
    monkeypatch.setattr(
        host_heartbeats, "elapsed_ms", lambda since_ms: clock_ms[0] - since_ms
    )
    hosts = Hosts(*(f"front-{number}" for number in range(13)))
    hosts.exchange_heartbeats()
    budgets = {name: HostRetryBudget(0.2, 191.0, 10.0) for name in hosts.exchanges}
    n_retries = 0
    for _ in range(100):  # One window, in which all requests fail.
        clock_ms[0] += 100.0
        for name, exchange in hosts.exchanges.items():
            exchange._expire_peers()
            n_hosts = exchange.count_hosts()
            n_retries += sum(
                budgets[name].take(clock_ms[0] / 1000, n_hosts) for _ in range(3)
            )
    assert n_retries <= 191.0


def test_host_that_restarts_does_not_replace_the_leader():
    hosts = Hosts("a", "b", "c")
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["a"]
    hosts.serving.discard("a")
    for exchange in hosts.exchanges.values():
        exchange._peers.pop("a", None)
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["b"]
    hosts.serving.add("a")
    hosts.start("a")
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["b"]
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["b"]


def test_hosts_that_start_together_agree_on_the_first_by_name(monkeypatch):
    """After a power failure, each host serves as soon as it has read the store."""
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
    hosts.exchange_heartbeats()
    clock_ms[0] = 450.0
    assert hosts.leaders() == []
    clock_ms[0] = 700.0
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["a"]
    assert hosts.exchanges["a"].ms_since_other_leader() > 1e6


def test_host_with_the_fastest_link_leads():
    """A map of 72 ranks has 0.7 MB, which takes half a second on the slowest links."""
    hosts = Hosts("a", "b", "c")
    for name, link_mbps in (("a", 14.0), ("b", 100.0), ("c", 100.0)):
        hosts.exchanges[name]._link_mbps = link_mbps
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["b"]


def test_leader_that_resigns_is_not_waited_for():
    hosts = Hosts("a", "b")
    hosts.exchanges["b"]._has_lead = True
    hosts.exchange_heartbeats()
    assert hosts.exchanges["a"].ms_since_other_leader() < 1_000
    hosts.exchanges["b"]._has_lead = False
    hosts.exchange_heartbeats()
    assert hosts.exchanges["a"].ms_since_other_leader() > 1e6


def test_one_of_two_leaders_stays_after_a_partition():
    hosts = Hosts("a", "b")
    assert hosts.leaders() == ["a", "b"]  # Partitioned from each other.
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["a"]


def test_leader_that_freezes_is_replaced_within_half_a_second(monkeypatch):
    """It may have held a pass of a group, which stands until another host resolves it.

    Three of its heartbeats in a row may be lost.
    """
    clock_ms = [10_000.0]
    monkeypatch.setattr(host_heartbeats, "now_ms", lambda: clock_ms[0])
    monkeypatch.setattr(
        host_heartbeats, "elapsed_ms", lambda since_ms: clock_ms[0] - since_ms
    )
    hosts = Hosts("a", "b", "c")
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["a"]
    hosts.exchange_heartbeats()
    assert hosts.exchanges["a"]._max_interval_ms() == 100.0
    assert hosts.exchanges["b"]._max_interval_ms() == 250.0
    hosts.serving.discard("a")
    clock_ms[0] += 390.0
    hosts.exchange_heartbeats()
    assert hosts.leaders() == []
    clock_ms[0] += 20.0
    hosts.exchange_heartbeats()
    assert hosts.leaders() == ["b"]


def test_leader_is_not_replaced_between_two_heartbeats_of_many_hosts():
    """300 hosts send a heartbeat each 0.75 s."""
    exchange = Hosts("a").exchanges["a"]
    exchange.add_endpoints((f"10.0.{n // 250}.{n % 250}", 1) for n in range(299))
    assert exchange._leader_timeout_ms() >= 3 * 750
    assert Hosts("b").exchanges["b"]._leader_timeout_ms() == 400.0


def test_sum_of_the_peers_loads_follows_each_heartbeat_and_time_out(monkeypatch):
    """Peers start anew, time out and come back; heartbeats are lost or overtaken."""
    clock_ms = [10_000.0]
    monkeypatch.setattr(host_heartbeats, "now_ms", lambda: clock_ms[0])
    monkeypatch.setattr(
        host_heartbeats, "elapsed_ms", lambda since_ms: clock_ms[0] - since_ms
    )
    totals = {}
    exchange = HeartbeatExchange(
        "a", "a", lambda: HostState({}, {}), lambda: True, totals.update
    )
    rng, last = random.Random(1), {}
    for number in range(3_000):
        clock_ms[0] += rng.choice((1.0, 20.0, 400.0))
        exchange._expire_peers()
        host = f"peer-{rng.randrange(5)}"
        loads = {f"u{rng.randrange(4)}": rng.randrange(1, 4) for _ in range(2)}
        start = f"s{number // 1_000}"
        sequence_number = number - 40 * (rng.random() < 0.1)
        heartbeat = HostHeartbeat(
            host, start, sequence_number, host, True, loads, {}, False
        )
        known = exchange._peers.get(host)
        exchange._take(heartbeat, (host, 1))
        if exchange._peers.get(host) is not known:
            last[host] = clock_ms[0], loads
        expected = {}
        for received_at_ms, loads in last.values():
            if clock_ms[0] - received_at_ms < host_heartbeats.PEER_TIMEOUT_MS:
                for upstream, n_requests in loads.items():
                    expected[upstream] = expected.get(upstream, 0) + n_requests
        assert {u: n for u, n in totals.items() if n} == expected
