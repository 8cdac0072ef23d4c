"""Keeps a process's copy of the configuration up to date, from its start on."""

from __future__ import annotations

import itertools
import random
import zlib

import trio

from ...errors import CallRefused, PeerTimeout, PeerUnreachable
from ...protocol import Connection, Peers, ProcessIdentity
from ...protocol.configuration import (
    ConfigurationDelta,
    ConfigurationPull,
    ConfigurationUnchanged,
    SnapshotChunk,
)
from ...protocol.heartbeats import MemberState
from ...state import ConfigurationView, ObjectStore
from ...telemetry import get_logger
from .exchange import SnapshotAssembler, apply_delta
from .members import MembersView
from .publisher import Publisher
from .reader import StoreReader
from .sources import choose_comparison_peer, choose_source, readers_of

__all__ = ["ConfigurationSync"]

PULL_INTERVAL_S = 1.0
AGENT_PULL_INTERVAL_S = 2.0
PULL_TIMEOUT_MS = 1500.0
CHECK_EVERY_N_PULLS = 3
FAILED_SOURCE_BACKOFF_S = 5.0
MAX_MESSAGES_PER_PULL = 4096
MIN_CONFIRMING_PEERS = 3

log = get_logger("configuration")


class ConfigurationSync:
    """A process's part in spreading the configuration.

    An entry host that reads for its data centre watches the object API; any other
    process follows a source, which pushes each change, and pulls from it once an
    interval, which also reports what is in force. Now and then a process compares
    with one that it does not follow.

    A fresh process is ready once it has read the object API or, while that is
    away, has caught up with several other processes that are ready.

    Parameters
    ----------
    peers : Peers
        Carries the messages; not started yet.
    store : ObjectStore
        The platform's object API.
    view : ConfigurationView
        Where changes are put in force.
    members : MembersView, optional
        The processes of the deployment; an agent needs none, since it follows the
        entry hosts that are connected to it.

    Attributes
    ----------
    ready : trio.Event
        Set once the configuration may be relied on.
    """

    def __init__(
        self,
        peers: Peers,
        store: ObjectStore,
        view: ConfigurationView,
        members: MembersView | None = None,
    ):
        self.ready = trio.Event()
        self.publisher = Publisher(peers, view, self.ready.is_set)
        self._identity = peers.identity
        self._peers = peers
        self._view = view
        self._members = members
        self._reader = StoreReader(store, view, self._rng("reader"))
        self._checks_rng = self._rng("checks")
        self._failed_until_s: dict[str, float] = {}
        self._witnesses: set[str] = set()
        self._names_wanted_by: str | None = None
        self._has_gap = trio.Event()
        self._scope = trio.CancelScope()
        peers.register(ConfigurationDelta, self._on_delta)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow and to pass on."""
        self.publisher.start(nursery)
        nursery.start_soon(self._run)

    def close(self) -> None:
        """Stop to follow."""
        self._scope.cancel()

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_first)
                nursery.start_soon(self._pull_regularly)
                if self._identity.role == "entry":
                    nursery.start_soon(self._reader.run, self._is_reader)

    async def _read_first(self) -> None:
        """Read the object API until this process is ready."""
        await self._reader.list_until(self.ready)
        self._note_ready("store")

    def _note_ready(self, source: str) -> None:
        if not self.ready.is_set():
            self.ready.set()
            log.info("configuration.ready", source=source, revision=self._view.revision)

    def _is_reader(self) -> bool:
        return self._identity.name in self._readers()

    def _readers(self) -> list[str]:
        data_centre = self._identity.data_centre
        return readers_of(data_centre, self._entries(data_centre))

    def _entries(self, data_centre: str | None = None) -> list[ProcessIdentity]:
        """Return the live entry hosts, this process among them if it is one."""
        members = self._members.live("entry", data_centre) if self._members else []
        entries = [member.identity for member in members]
        own = self._identity
        if own.role == "entry" and all(entry.name != own.name for entry in entries):
            entries.append(own)
        return entries

    def _n_known_entries(self) -> int:
        """Return how many other entry hosts there are, live or suspect."""
        members = self._members.members("entry") if self._members else []
        return sum(
            member.state is not MemberState.GONE
            and member.identity.name != self._identity.name
            for member in members
        )

    async def _pull_regularly(self) -> None:
        rng = self._rng("pulls")
        # Each entry host serves many agents, which get changes by push anyway.
        is_agent = self._identity.role == "agent"
        for number in itertools.count():
            self._has_gap = trio.Event()
            if self.ready.is_set():
                await self._pull_round(number)
            else:
                await self._pull_from_several(self._sources())
            is_slow = is_agent and self.ready.is_set()
            interval_s = AGENT_PULL_INTERVAL_S if is_slow else PULL_INTERVAL_S
            with trio.move_on_after(interval_s * (0.75 + 0.5 * rng.random())):
                await self._has_gap.wait()

    async def _pull_round(self, number: int) -> None:
        """Pull from the source, and from another process if it is time to check."""
        sources = self._sources()
        source = choose_source(self._identity.name, sources, self._avoided())
        is_served = False
        if source is not None:
            is_served = await self._pull(sources[source], is_following=True)
        # A reader has no source, so it checks each time.
        if is_served and number % CHECK_EVERY_N_PULLS:
            return
        prefers_far = number % 2 == 0 if source is None else not is_served
        checked = self._checked(source, prefers_far)
        if checked is not None:
            await self._pull(checked, is_following=False)

    def _avoided(self) -> list[str]:
        now_s = trio.current_time()
        return [n for n, until_s in self._failed_until_s.items() if until_s > now_s]

    async def _pull_from_several(
        self, sources: dict[str, ProcessIdentity | Connection]
    ) -> None:
        """Ask several processes at once, as a fresh process does."""
        others = dict(sources)
        if self._identity.role == "entry":
            for entry in self._entries():
                if entry.name != self._identity.name:
                    others.setdefault(entry.name, entry)
        async with trio.open_nursery() as nursery:
            for name in list(others)[: 2 * MIN_CONFIRMING_PEERS]:
                nursery.start_soon(self._pull, others[name], False)
        # Entry hosts that are suspect may hold more than those that answer.
        n_needed = min(MIN_CONFIRMING_PEERS, max(len(others), self._n_known_entries()))
        if n_needed and self._reader.has_failed and len(self._witnesses) >= n_needed:
            self._note_ready("peers")

    def _sources(self) -> dict[str, ProcessIdentity | Connection]:
        """Return whom this process may follow, by name."""
        if self._identity.role != "entry":
            return {
                connection.identity.name: connection
                for connection in self._peers.accepted
                if connection.identity.role == "entry"
            }
        near = self._entries(self._identity.data_centre)
        readers = readers_of(self._identity.data_centre, near)
        if self._identity.name in readers:
            return {}
        return {entry.name: entry for entry in near if entry.name in readers}

    def _checked(
        self, source: str | None, prefers_far: bool
    ) -> ProcessIdentity | Connection | None:
        if self._identity.role == "entry":
            return choose_comparison_peer(
                self._identity,
                self._entries(),
                self._avoided(),
                self._checks_rng,
                prefers_far=prefers_far,
            )
        others = self._sources()
        others.pop(source or "", None)
        names = sorted(others)
        return others[self._checks_rng.choice(names)] if names else None

    async def _pull(
        self, target: ProcessIdentity | Connection, is_following: bool
    ) -> bool:
        """Pull from a process until it has nothing newer; tells if it answered."""
        identity = target.identity if isinstance(target, Connection) else target
        name = identity.name
        try:
            if isinstance(target, Connection):
                connection = target
            else:
                connection = await self._connect(identity)
            is_caught_up = await self._pull_over(connection, is_following)
        except (PeerTimeout, PeerUnreachable, CallRefused) as error:
            self._failed_until_s[name] = trio.current_time() + FAILED_SOURCE_BACKOFF_S
            log.info("configuration.pull_failed", source=name, reason=str(error))
            return False
        self._failed_until_s.pop(name, None)
        if is_caught_up:
            self._witnesses.add(name)
        else:
            self._witnesses.discard(name)
        return True

    async def _connect(self, identity: ProcessIdentity) -> Connection:
        with trio.move_on_after(PULL_TIMEOUT_MS / 1000):
            return await self._peers.connection(identity.address)
        raise PeerTimeout(identity.name)

    async def _pull_over(self, connection: Connection, is_following: bool) -> bool:
        """Pull until caught up; returns whether with a process that is ready."""
        view = self._view
        collector = SnapshotAssembler(view)
        for _ in range(MAX_MESSAGES_PER_PULL):
            pull = self._next_pull(connection, collector, is_following)
            reply = await connection.call(pull, PULL_TIMEOUT_MS)
            if is_following and getattr(reply, "wants_children", False):
                self._names_wanted_by = connection.identity.name
            match reply:
                case ConfigurationUnchanged():
                    # A push may have changed the view since the pull.
                    if reply.is_same and pull.digest == view.digest:
                        view.confirm(reply.revision)
                    elif reply.revision == view.revision:
                        name = connection.identity.name
                        log.error("configuration.differs", peer=name)
                    return reply.is_ready
                case ConfigurationDelta():
                    apply_delta(view, reply)
                    if reply.latest_revision <= view.revision:
                        return reply.is_ready
                case SnapshotChunk():
                    if collector.add(reply):
                        return reply.is_ready
        return False

    def _next_pull(
        self, connection: Connection, collector: SnapshotAssembler, is_following: bool
    ) -> ConfigurationPull:
        revision, chunk = collector.position
        report = None
        if is_following:
            with_names = self._names_wanted_by == connection.identity.name
            self._names_wanted_by = None
            report = self.publisher.report(with_names=with_names)
        held = (self._view.revision, self._view.digest)
        return ConfigurationPull(*held, is_following, report, revision, chunk)

    async def _on_delta(
        self, connection: Connection, delta: ConfigurationDelta
    ) -> None:
        if apply_delta(self._view, delta):
            return
        if delta.from_revision > self._view.revision:
            self._has_gap.set()

    def _rng(self, purpose: str) -> random.Random:
        identity = self._identity
        seed = f"{identity.name}/{identity.start_id}/{purpose}"
        return random.Random(zlib.crc32(seed.encode()))
