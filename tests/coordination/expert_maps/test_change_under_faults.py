"""Map changes under faults of hosts, coordinators, links, engines and store."""

from __future__ import annotations

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from poplarward.coordination.expert_maps import ChangeOutcome
from poplarward.protocol.expert_maps import PrepareMap
from tests.coordination.expert_maps.harness import N_EXPERTS, Group, GuestTrio

N_HOSTS = 3
N_MESSAGES_PER_CHANGE = 16
MAX_CHANGE_MS = 60
RESOLVE_MS = 8_000
MAX_COORDINATORS = 8

hosts = st.integers(0, N_HOSTS - 1)
experts = st.integers(0, N_EXPERTS - 1)
host_faults = st.tuples(
    st.sampled_from(
        ["cut", "kill", "restart", "stall", "unreachable", "lost_answers", "weights"]
    ),
    hosts,
)
other_faults = st.tuples(
    st.sampled_from(["kill_leader", "freeze_leader", "replace_leader", "again"]),
    st.integers(-12, -1),
)
faults = host_faults | other_faults
moments = st.integers(1, N_MESSAGES_PER_CHANGE)
delays_ms = st.sampled_from([0, 0.6, 1.2, 2.5, 5])

# Delay of the prepare request to the late host (ms), time of the fault (ms), kind of
# fault, and whether it affects the late host.
LATE_PREPARE_FAULTS = [
    (500, 420, "none", True),
    (900, 420, "restart", True),
    (100, 40, "cut", False),
    (500, 40, "restart", False),
    (500, 40, "unreachable", False),
    (100, 40, "restart", False),
    (900, 420, "kill_leader", True),
    (500, 40, "cut", True),
]


class MapChanges(RuleBasedStateMachine):
    """All ranks use the same map in every step, and no rank stays blocked."""

    @initialize(checks_fence=st.booleans())
    def start(self, checks_fence):
        self.trio = GuestTrio()
        self.group = Group(self.trio.nursery, N_HOSTS, checks_fence)
        self.trio.run(self.group.start)
        self.trio.advance(500)
        self.trio.run(self.group.start_coordinator)

    @rule(
        host=hosts,
        expert=experts,
        plan=st.lists(st.tuples(moments, delays_ms, faults), max_size=4),
    )
    def change_with_faults(self, host, expert, plan):
        """Start a change in a healthy group and inject faults while it runs.

        Each fault occurs some time after the leader has sent a number of messages.
        """
        self.heal()
        self.trio.advance(1000)
        n_sent = len(self.group.sent)
        self.group.propose(self.leader(), host, 0, expert)
        for moment, delay_ms, fault in sorted(plan):
            self.trio.run(self.wait_until_sent, n_sent + moment)
            self.trio.advance(delay_ms)
            self.inject_fault(*fault)

    @rule(
        late=hosts,
        stalled=st.sampled_from([0, 1, None]),
        late_fault=st.sampled_from(LATE_PREPARE_FAULTS),
    )
    def change_with_late_prepare(self, late, stalled, late_fault):
        """Delay the prepare request to one host until other hosts query its vote.

        The hosts query each other's votes from 200 ms on, so their decision races with
        that of the coordinator; with a delay of 100 ms a host may miss the decision. A
        stalled rank keeps the group from reaching the step.
        """
        self.heal()
        self.trio.advance(1000)
        leader = self.leader()
        late_ms, after_ms, fault, is_at_late_host = late_fault
        leader.peers.prepare_delay_ms = {self.group.hosts[late].address: late_ms}
        n_sent = len(self.group.sent)
        self.group.propose(leader, 0, 0, 1)
        self.trio.run(self.wait_until_prepare_sent, n_sent)
        if stalled is not None:
            self.inject_fault("stall", stalled)
        self.trio.advance(after_ms)
        self.inject_fault(fault, late if is_at_late_host else (late + 1) % N_HOSTS)
        self.trio.advance(late_ms)
        leader.peers.prepare_delay_ms = {}

    async def wait_until_prepare_sent(self, n_before):
        """Wait until prepare requests are sent, if the change gets that far."""
        with trio.move_on_after(MAX_CHANGE_MS / 1000):
            while not any(
                isinstance(message, PrepareMap)
                for _, _, message in self.group.sent[n_before:]
            ):
                await trio.sleep(0.0005)

    async def wait_until_sent(self, n_messages):
        with trio.move_on_after(MAX_CHANGE_MS / 1000):
            while len(self.group.sent) < n_messages:
                await trio.sleep(0.0005)

    @rule(fault=faults)
    def fault(self, fault):
        self.inject_fault(*fault)

    @rule(host=hosts, expert=experts)
    def propose(self, host, expert):
        self.group.propose(self.leader(), host, 0, expert)

    @rule(ms=st.sampled_from([1, 7, 40, 400, 2500]))
    def advance(self, ms):
        self.trio.advance(ms)

    @rule(host=hosts)
    def heal_host(self, host):
        self.group.heal_host(host)
        self.trio.run(self.group.start_agent, host)

    @precondition(lambda self: self.group.coordinators)
    @rule(which=st.integers(0, MAX_COORDINATORS))
    def wake_coordinator(self, which):
        leaders = self.group.coordinators
        leaders[which % len(leaders)].peers.wake()

    @rule(loss=st.sampled_from([0.0, 0.1]), doubled=st.sampled_from([0.0, 0.3]))
    def faulty_links(self, loss, doubled):
        links = self.group.faults
        links.loss, links.duplication, links.jitter_ms = loss, doubled, 5.0

    @rule(is_down=st.booleans(), lost_answers=st.sampled_from([0.0, 0.5]))
    def store_fault(self, is_down, lost_answers):
        self.group.store.set_down(is_down)
        self.group.store.faults.lost_answers = lost_answers

    @invariant()
    def one_map_in_every_step(self):
        assert self.group.ranks.mixed_steps() == []

    def teardown(self):
        if not hasattr(self, "trio"):
            return
        try:
            self.check_no_rank_stays_blocked()
        finally:
            self.trio.close()

    def check_no_rank_stays_blocked(self):
        group = self.group
        self.heal()
        self.check_hosts_resolve_alone()
        leader = self.trio.run(group.start_coordinator)
        self.trio.advance(RESOLVE_MS)
        n_steps = len(group.ranks.step_ends)
        for _ in range(3):
            self.trio.run(self.finish_one_change, leader)
        assert leader.results[-1].outcome is ChangeOutcome.COMMITTED, leader.results
        assert len(group.ranks.step_ends) > n_steps
        assert all(e.current_hold is None for e in group.ranks.engines)
        assert group.ranks.mixed_steps() == []

    def check_hosts_resolve_alone(self):
        """Check that pending attempts are resolved without any coordinator."""
        group = self.group
        group.kill_coordinators()
        self.trio.advance(RESOLVE_MS)
        n_steps = len(group.ranks.step_ends)
        self.trio.advance(1000)
        assert all(e.current_hold is None for e in group.ranks.engines)
        assert len(group.ranks.step_ends) > n_steps
        assert group.ranks.mixed_steps() == []

    async def finish_one_change(self, leader):
        n_results = len(leader.results)
        self.group.propose(leader, 0, 0, 1)
        while len(leader.results) == n_results:
            await trio.sleep(0.1)
        await trio.sleep(1)

    def heal(self):
        self.group.heal()
        for host in range(N_HOSTS):
            self.trio.run(self.group.start_agent, host)

    def leader(self):
        if not self.group.coordinators:
            self.trio.run(self.group.start_coordinator)
        return self.group.coordinators[-1]

    def inject_fault(self, fault, which):
        group = self.group
        engine = group.ranks.engines[which % N_HOSTS]
        match fault:
            case "cut":
                group.unreachable.add(group.hosts[which].address.host)
            case "kill":
                self.trio.run(group.kill_agent, which)
            case "restart":
                self.trio.run(group.kill_agent, which)
                self.trio.advance(1)
                self.trio.run(group.start_agent, which)
            case "stall":
                engine.is_stalled = True
            case "unreachable":
                engine.is_unreachable = True
            case "lost_answers":
                engine.loses_answers = True
            case "weights":
                engine.fails_weights = True
            case "kill_leader" if group.coordinators:
                group.coordinators.pop().nursery.cancel_scope.cancel()
            case "freeze_leader" if group.coordinators:
                group.coordinators[-1].peers.freeze()
            case "replace_leader" if len(group.coordinators) < MAX_COORDINATORS:
                leader = self.trio.run(group.start_coordinator)
                group.propose(leader, 0, 0, 2)
            case "again" if group.sent:
                self.trio.run(group.redeliver, which)


TestMapChanges = MapChanges.TestCase
TestMapChanges.settings = settings(max_examples=45, stateful_step_count=8)
