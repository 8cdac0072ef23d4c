"""Stateful test that payments run at most once under any sequence of faults."""

from __future__ import annotations

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from benchmarks.memory_path import run_in_virtual_time
from poplarward.requests.payments import journal, keys
from tests.requests.payments.ledger_cluster import (
    N_AGENTS,
    N_ENTRIES,
    NO_KEY,
    LedgerCluster,
)

AGENTS = st.integers(0, N_AGENTS - 1)
ENTRIES = st.integers(0, N_ENTRIES - 1)
AGENT_FAULTS = ("kill", "pause", "wake", "cut", "join", "crash", "up")
PAUSES_MS = st.sampled_from([0, 1, 4, 10, 40, 120, 600, 2500])


class PaymentsMachine(RuleBasedStateMachine):
    """Collects a script of sends and faults, and plays it at teardown."""

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(
        key=st.sampled_from(["k-1", "k-2", "k-3", "k-4", "issued-1", NO_KEY]),
        entry=ENTRIES,
        cents=st.sampled_from([1, 1, 1, 2]),
        pause_ms=PAUSES_MS,
    )
    def send(self, key, entry, cents, pause_ms):
        self.script.append(("send", key, entry, cents, pause_ms))

    @rule(key=st.sampled_from(["k-1", "k-2"]), pause_ms=PAUSES_MS)
    def send_everywhere(self, key, pause_ms):
        for entry in range(N_ENTRIES):
            self.script.append(("send", key, entry, 1, 0))
        self.script.append(("wait", pause_ms))

    @rule(
        fault=st.sampled_from(["kill", "pause", "wake", "cut", "join", "crash", "up"]),
        agent=AGENTS,
        pause_ms=PAUSES_MS,
    )
    def inject_fault(self, fault, agent, pause_ms):
        self.script.append((fault, agent))
        self.script.append(("wait", pause_ms))

    @rule(
        fault=st.sampled_from(["kill", "pause", "cut", "crash", "down", "losing"]),
        before_ms=st.sampled_from([0, 2, 5, 8, 20, 50]),
        between_ms=PAUSES_MS,
    )
    def inject_fault_without_key(self, fault, before_ms, between_ms):
        """Inject a fault at all agents while they handle payments without a key."""
        for _ in range(N_AGENTS):
            self.script.append(("send", NO_KEY, 0, 1, 0))
        self.script.append(("wait", before_ms))
        if fault in AGENT_FAULTS:
            self.script += [(fault, agent) for agent in range(N_AGENTS)]
        else:
            self.script.append((fault,))
        self.script.append(("wait", between_ms))

    @rule(
        fault=st.sampled_from(["kill", "pause", "cut", "crash", "down", "losing"]),
        before_ms=st.sampled_from([0, 2, 5, 8, 20, 50]),
        between_ms=PAUSES_MS,
    )
    def inject_fault_at_owner(self, fault, before_ms, between_ms):
        """Send a new key, inject a fault at its owner, and send the key again."""
        key = f"new-{len(self.script)}"
        self.script.append(("send", key, 0, 1, before_ms))
        self.script.append((fault, key) if fault in AGENT_FAULTS else (fault,))
        self.script.append(("wait", between_ms))
        self.script.append(("send", key, 1, 1, 40))

    @rule(
        fault=st.sampled_from(["down", "back", "slow", "losing", "healthy"]),
        pause_ms=PAUSES_MS,
    )
    def inject_fault_at_store(self, fault, pause_ms):
        self.script.append((fault,))
        self.script.append(("wait", pause_ms))

    def teardown(self):
        if any(step[0] == "send" for step in self.script):
            run_in_virtual_time(1, play, self.script)


async def play(script, make_payments=None):
    """Play a script, remove all faults, send each key again, and check."""
    async with trio.open_nursery() as nursery:
        cluster = LedgerCluster(nursery, make_payments)
        await cluster.start()
        issued = {}
        for step in script:
            await play_step(cluster, issued, step)
        cluster.heal()
        await trio.sleep(10)
        for key in {key for key, _, _ in cluster.sent if NO_KEY not in key}:
            for entry in range(N_ENTRIES):
                cluster.send(key, entry)
        await trio.sleep(10)
        cluster.check()
        nursery.cancel_scope.cancel()
    return cluster


async def play_step(cluster, issued, step):
    faults = cluster.store.faults
    if step[0] in AGENT_FAULTS and isinstance(step[1], str):
        step = (step[0], cluster.owner_of(step[1]))
    match step:
        case ("send", key, entry, cents, pause_ms):
            if key.startswith("issued"):
                key = await issued_key(cluster, issued, key)
            cluster.send(key, entry, cents)
            await trio.sleep(pause_ms / 1000)
        case ("wait", pause_ms):
            await trio.sleep(pause_ms / 1000)
        case ("kill", agent):
            await cluster.kill_agent(agent)
        case ("pause" | "wake" as fault, agent):
            cluster.set_paused(agent, fault == "pause")
        case ("cut" | "join" as fault, agent):
            cluster.set_cut(agent, fault == "cut")
        case ("crash", agent):
            cluster.upstreams[agent].crash()
        case ("up", agent):
            cluster.upstreams[agent].is_up = True
        case ("down" | "back" as fault,):
            cluster.store.set_down(fault == "down")
        case ("slow",):
            faults.delay_ms = 400.0
        case ("losing",):
            faults.lost_answers = 0.5
        case ("healthy",):
            faults.delay_ms, faults.lost_answers = 3.0, 0.0


async def issued_key(cluster, issued, name):
    """Return the key that an agent issued for a name, or a fixed key on failure."""
    if name not in issued:
        try:
            issued[name] = await cluster.entries[0].keys.issue("ledger")
        except Exception:
            return "k-3"
    return issued[name]


def check_machine():
    run_state_machine_as_test(
        PaymentsMachine,
        settings=settings(max_examples=20, stateful_step_count=16),
    )


def test_payments_run_at_most_once():
    check_machine()


def test_payments_run_at_most_once_while_segments_are_closed(monkeypatch):
    """Keys share two partitions, and each update closes a segment if possible."""
    monkeypatch.setattr(keys, "N_PARTITIONS", 2)
    monkeypatch.setattr(journal, "SEGMENT_BYTES", 0)
    check_machine()
