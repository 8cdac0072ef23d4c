"""Payments run at most once, whatever fails; the ledger's own record is the judge."""

from __future__ import annotations

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from benchmarks.memory_path import run_in_virtual_time
from poplarward.requests.payments import journal, keys
from tests.requests.payments.ledger_path import N_AGENTS, N_ENTRIES, NO_KEY, LedgerPath

AGENTS = st.integers(0, N_AGENTS - 1)
ENTRIES = st.integers(0, N_ENTRIES - 1)
AGENT_FAULTS = ("kill", "pause", "wake", "cut", "join", "crash", "up")
PAUSES_MS = st.sampled_from([0, 1, 4, 10, 40, 120, 600, 2500])


class PaymentsMachine(RuleBasedStateMachine):
    """Writes a script of sends and faults, and plays it at the end."""

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
    def strike(self, fault, agent, pause_ms):
        self.script.append((fault, agent))
        self.script.append(("wait", pause_ms))

    @rule(
        fault=st.sampled_from(["kill", "pause", "cut", "crash", "down", "losing"]),
        before_ms=st.sampled_from([0, 2, 5, 8, 20, 50]),
        between_ms=PAUSES_MS,
    )
    def strike_without_key(self, fault, before_ms, between_ms):
        """Strike every agent's part on the way of payments without a key."""
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
    def strike_owner(self, fault, before_ms, between_ms):
        """Send a new key, strike its owner on the way, and send the key again."""
        key = f"new-{len(self.script)}"
        self.script.append(("send", key, 0, 1, before_ms))
        self.script.append((fault, key) if fault in AGENT_FAULTS else (fault,))
        self.script.append(("wait", between_ms))
        self.script.append(("send", key, 1, 1, 40))

    @rule(
        fault=st.sampled_from(["down", "back", "slow", "losing", "healthy"]),
        pause_ms=PAUSES_MS,
    )
    def strike_store(self, fault, pause_ms):
        self.script.append((fault,))
        self.script.append(("wait", pause_ms))

    def teardown(self):
        if any(step[0] == "send" for step in self.script):
            run_in_virtual_time(1, play, self.script)


async def play(script, make_payments=None):
    """Play a script, heal everything, send each key again, and check."""
    async with trio.open_nursery() as nursery:
        ledger_path = LedgerPath(nursery, make_payments)
        await ledger_path.start()
        issued = {}
        for step in script:
            await play_step(ledger_path, issued, step)
        ledger_path.heal()
        await trio.sleep(10)
        for key in {key for key, _, _ in ledger_path.sent if NO_KEY not in key}:
            for entry in range(N_ENTRIES):
                ledger_path.send(key, entry)
        await trio.sleep(10)
        ledger_path.check()
        nursery.cancel_scope.cancel()
    return ledger_path


async def play_step(ledger_path, issued, step):
    faults = ledger_path.store.faults
    if step[0] in AGENT_FAULTS and isinstance(step[1], str):
        step = (step[0], ledger_path.owner_of(step[1]))
    match step:
        case ("send", key, entry, cents, pause_ms):
            if key.startswith("issued"):
                key = await issued_key(ledger_path, issued, key)
            ledger_path.send(key, entry, cents)
            await trio.sleep(pause_ms / 1000)
        case ("wait", pause_ms):
            await trio.sleep(pause_ms / 1000)
        case ("kill", agent):
            await ledger_path.kill_agent(agent)
        case ("pause" | "wake" as fault, agent):
            ledger_path.set_paused(agent, fault == "pause")
        case ("cut" | "join" as fault, agent):
            ledger_path.set_cut(agent, fault == "cut")
        case ("crash", agent):
            ledger_path.upstreams[agent].crash()
        case ("up", agent):
            ledger_path.upstreams[agent].is_up = True
        case ("down" | "back" as fault,):
            ledger_path.store.set_down(fault == "down")
        case ("slow",):
            faults.delay_ms = 400.0
        case ("losing",):
            faults.lost_answers = 0.5
        case ("healthy",):
            faults.delay_ms, faults.lost_answers = 3.0, 0.0


async def issued_key(ledger_path, issued, name):
    """Return the key that an agent issued under a name, or a caller's own."""
    if name not in issued:
        try:
            issued[name] = await ledger_path.entries[0].keys.issue("ledger")
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
    """Keys share two partitions, and every update that can closes a segment."""
    monkeypatch.setattr(keys, "N_PARTITIONS", 2)
    monkeypatch.setattr(journal, "SEGMENT_BYTES", 0)
    check_machine()
