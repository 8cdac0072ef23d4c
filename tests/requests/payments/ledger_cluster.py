"""In-memory cluster of entry hosts, a ledger's agents and a store, with faults."""

from __future__ import annotations

from contextlib import asynccontextmanager

import trio

from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    payment,
)
from poplarward.requests.payments import IdempotencyGuard, rank_owners
from poplarward.standins.ledger import LedgerStandin
from poplarward.standins.object_store import MemoryObjectStore, StoreFaults

N_ENTRIES = 2
N_AGENTS = 3
NO_KEY = "no key"


class Gate:
    """Blocks a paused agent until it is resumed."""

    def __init__(self):
        self._open = trio.Event()
        self._open.set()

    def pause(self):
        if self._open.is_set():
            self._open = trio.Event()

    def resume(self):
        self._open.set()

    async def wait(self):
        await self._open.wait()


class GatedStore:
    """Store of one agent that can be paused before and after each call."""

    def __init__(self, store, gate):
        self._store, self._gate = store, gate

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*args):
            await self._gate.wait()
            try:
                return await method(*args)
            finally:
                await self._gate.wait()

        return call if name != "watch" else method


class GatedUpstream(MemoryUpstream):
    """Upstream of an agent that can be paused before it forwards a call."""

    def __init__(self, nursery, handler, gate):
        super().__init__(nursery, handler)
        self._gate = gate

    @asynccontextmanager
    async def stream(self, *args, **options):
        await self._gate.wait()
        async with super().stream(*args, **options) as response:
            yield response


class LedgerCluster:
    """A cluster whose agents share one ledger; `check` inspects its postings."""

    def __init__(self, nursery, make_payments=None):
        self.nursery = nursery
        self.path = MemoryPath(nursery)
        self.store = MemoryObjectStore(StoreFaults(delay_ms=3.0, writes_per_s=1e6))
        self.ledger = LedgerStandin(30.0)
        self.sent = []
        self.entries, self.upstreams, self.gates, self.scopes = [], [], [], []
        self._make_payments = make_payments or self._make_guard

    def _make_guard(self, store, identity):
        return IdempotencyGuard(store, identity, "ledger", identity.start_id)

    async def start(self):
        for number in range(N_AGENTS):
            gate = Gate()
            self.gates.append(gate)
            handler = self.ledger.handle
            self.upstreams.append(GatedUpstream(self.nursery, handler, gate))
            self.scopes.append(None)
            await self.start_agent(number)
        for number in range(N_ENTRIES):
            self.entries.append(await self._new_entry(number))

    async def _new_entry(self, number):
        return await self.path.start_entry(f"entry-{number}", f"10.1.0.{number + 1}")

    async def start_agent(self, number):
        store = GatedStore(self.store, self.gates[number])
        _, self.scopes[number] = await self.path.start_agent(
            f"agent-{number}",
            f"10.2.0.{number + 1}",
            "plain",
            "ledger",
            self.upstreams[number],
            n_slots=4,
            payments=lambda identity: self._make_payments(store, identity),
        )

    async def kill_agent(self, number):
        """Stop an agent and start it again; its calls at the ledger continue."""
        self.gates[number].resume()
        self.scopes[number].cancel()
        await trio.sleep(0.01)
        await self.start_agent(number)

    def set_paused(self, number, paused):
        """Pause an agent and partition it from the network, or undo both."""
        host = f"10.2.0.{number + 1}"
        if paused:
            self.gates[number].pause()
            self.path.cut.add(host)
        else:
            self.gates[number].resume()
            self.path.cut.discard(host)

    def set_cut(self, number, cut):
        host = f"10.2.0.{number + 1}"
        (self.path.cut.add if cut else self.path.cut.discard)(host)

    def owner_of(self, key):
        """Return the number of the agent that a key goes to."""
        views = self.entries[0]._router.live_agents("ledger")
        identities = [view.identity for view in views]
        names = rank_owners("ledger", "ateliers", key, identities)
        return int(names[0].partition("-")[2]) if names else 0

    def send(self, key, entry, cents=1, deadline_ms=3_000):
        """Send a payment in the background; its caller and key are recorded.

        Each payment without a key has a reference of its own.
        """
        caller = RecordingResponder()
        reference = key
        if key == NO_KEY:
            reference, key = f"{NO_KEY} {len(self.sent)}", ""
        self.sent.append((reference, cents, caller))
        request = payment(reference, key, deadline_ms, cents)
        self.nursery.start_soon(self.entries[entry].run, request, caller)
        return caller

    def heal(self):
        self.store.set_down(False)
        self.store.faults.lost_answers = 0.0
        self.store.faults.delay_ms = 3.0
        for number in range(N_AGENTS):
            self.set_paused(number, False)
            self.upstreams[number].is_up = True

    def check(self):
        """Check that payments ran at most once and responses match the postings."""
        for key in {key for key, _, _ in self.sent}:
            posted = [p for p in self.ledger.postings if p["reference"] == key]
            assert len(posted) <= 1, f"{key} was posted {len(posted)} times"
            responses = [(c, caller) for k, c, caller in self.sent if k == key]
            outcomes = {caller.outcome for _, caller in responses}
            assert None not in outcomes, f"{key} has no answer"
            if outcomes == {"not-run"}:
                assert not posted, f"{key} ran but its outcome is not-run"
            for cents, caller in responses:
                if caller.status == 201:
                    assert posted[0]["cents"] == cents
                    assert b'"reference": "%s"' % key.encode() in caller.body
