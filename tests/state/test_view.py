"""A view equals the store at its revision, for any messages in any order."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarward.coordination.configuration import exchange
from poplarward.protocol.configuration import (
    ConfigurationDelta,
    ConfigurationPull,
    ConfigurationUnchanged,
    SnapshotChunk,
)
from poplarward.state import Changes, ConfigurationView, Resource
from poplarward.state import view as view_module

N_VIEWS = 3
names = st.sampled_from(["a", "b", "c"])
numbers = st.integers(0, N_VIEWS - 1)


class ViewMachine(RuleBasedStateMachine):
    """A store with its full history, and views that exchange messages.

    Views 0 and 1 may read the store. Messages may be delayed, duplicated, reordered
    or lost.
    """

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.contents = {0: {}}
        self.events: list[Resource] = []
        self.views = [ConfigurationView() for _ in range(N_VIEWS)]
        self.servers = [exchange.SnapshotServer(view) for view in self.views]
        self.seen = [0] * N_VIEWS
        self.messages: list = []

    def write(self, name, spec):
        self.revision += 1
        resource = Resource("workspaces", name, self.revision, spec)
        content = dict(self.contents[self.revision - 1])
        content.pop(name, None)
        if spec is not None:
            content[name] = resource
        self.contents[self.revision] = content
        self.events.append(resource)

    @rule(name=names, share=st.integers(0, 3))
    def put(self, name, share):
        self.write(name, {"share": share})

    @rule(name=names)
    def delete(self, name):
        if name in self.contents[self.revision]:
            self.write(name, None)

    @rule()
    def write_of_another_kind(self):
        self.revision += 1
        self.contents[self.revision] = self.contents[self.revision - 1]

    @rule(number=st.integers(0, 1), lag=st.integers(0, 4))
    def list_store(self, number, lag):
        revision = max(0, self.revision - lag)
        content = list(self.contents[revision].values())
        self.views[number].apply_snapshot(revision, content)

    @rule(number=st.integers(0, 1), n_events=st.integers(1, 6))
    def watch_store(self, number, n_events):
        view = self.views[number]
        for event in [e for e in self.events if e.version > view.revision][:n_events]:
            view.apply(event)

    @rule(server=numbers, puller=numbers)
    def pull_once(self, server, puller):
        view = self.views[puller]
        pull = ConfigurationPull(view.revision, view.digest, False)
        reply = self.servers[server].answer(pull, is_ready=True)
        self.messages.append((puller, view.digest, reply))
        while isinstance(reply, SnapshotChunk) and reply.chunk + 1 < reply.n_chunks:
            next_chunk = (reply.revision, reply.chunk + 1)
            pull = ConfigurationPull(0, 0, False, None, *next_chunk)
            reply = self.servers[server].answer(pull, is_ready=True)
            self.messages.append((puller, 0, reply))

    @rule(server=numbers, puller=numbers)
    def pull_until_current(self, server, puller):
        """Pull until the view is up to date, with no other message in between."""
        view = self.views[puller]
        assembler = exchange.SnapshotAssembler(view)
        for _ in range(12):
            digest = view.digest
            pull = ConfigurationPull(
                view.revision, digest, False, None, *assembler.position
            )
            reply = self.servers[server].answer(pull, is_ready=True)
            self.messages.append((puller, digest, reply))
            match reply:
                case ConfigurationDelta():
                    assert exchange.apply_delta(view, reply)
                case SnapshotChunk():
                    assembler.add(reply)
                case ConfigurationUnchanged():
                    self.confirm(view, digest, reply)
                    break
        assert view.revision >= self.views[server].revision

    @rule(server=numbers, follower=numbers)
    def push(self, server, follower):
        after = self.views[follower].revision
        delta = exchange.delta_after(self.views[server], after, is_ready=True)
        if delta is not None:
            self.messages.append((None, 0, delta))

    @rule(data=st.data(), number=numbers)
    def deliver(self, data, number):
        if not self.messages:
            return
        puller, digest, message = data.draw(st.sampled_from(self.messages))
        view = self.views[number if puller is None else puller]
        match message:
            case ConfigurationDelta():
                exchange.apply_delta(view, message)
            case ConfigurationUnchanged():
                self.confirm(view, digest, message)

    def confirm(self, view, digest, message):
        # The reply applies to the view's content at the time of the pull.
        if message.is_same and digest == view.digest:
            view.confirm(message.revision)

    @rule(data=st.data(), number=numbers)
    def deliver_chunks(self, data, number):
        chunks = [m for _, _, m in self.messages if isinstance(m, SnapshotChunk)]
        if chunks:
            drawn = data.draw(st.lists(st.sampled_from(chunks), max_size=5))
            assembler = exchange.SnapshotAssembler(self.views[number])
            for chunk in drawn:
                assembler.add(chunk)

    @invariant()
    def views_equal_the_store(self):
        for number, view in enumerate(self.views):
            assert view.revision >= self.seen[number]
            self.seen[number] = view.revision
            resources = {resource.name: resource for resource in view.all()}
            assert resources == self.contents[view.revision]


def test_views_equal_the_store(monkeypatch):
    monkeypatch.setattr(exchange, "MAX_CHUNK_BYTES", 1)
    monkeypatch.setattr(view_module, "MAX_LOGGED_CHANGES", 3)
    machine = ViewMachine.TestCase
    machine.settings = settings(max_examples=200, stateful_step_count=50)
    machine().runTest()


def test_delta_that_skips_changes_is_not_applied():
    view = ConfigurationView()
    view.apply_snapshot(3, [])
    late = Resource("workspaces", "a", 6, {"share": 1})
    assert not view.apply_changes(Changes(5, 6, [late]))
    assert (view.revision, view.all()) == (3, [])


def test_no_delta_spans_a_confirmation():
    """Resources created and deleted in between are unknown to the confirmed view."""
    view = ConfigurationView()
    view.apply(Resource("workspaces", "a", 5, {"share": 1}))
    view.confirm(9)
    assert view.changes_after(7) is None
    assert view.changes_after(9) == Changes(9, 9, [])


def test_chunks_of_two_snapshots_do_not_mix():
    view = ConfigurationView()
    assembler = exchange.SnapshotAssembler(view)
    first, second = ([["workspaces", "a", version, {"share": 1}]] for version in (4, 6))
    assert not assembler.add(SnapshotChunk(6, 0, 2, second, True))
    assert not assembler.add(SnapshotChunk(4, 1, 2, first, True))
    assert (view.revision, view.all()) == (0, [])
