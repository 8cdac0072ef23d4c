"""Synchronization of a process's copy of the configuration."""

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
N_PULLS_PER_COMPARISON = 3
FAILED_SOURCE_BACKOFF_S = 5.0
MAX_MESSAGES_PER_PULL = 4096
MIN_CONFIRMING_PEERS = 3

log = get_logger("configuration")


class ConfigurationSync:
    """Keeps a process's configuration up to date and publishes it to followers.

    An entry host that is a reader of its data centre watches the object API. Any other
    process follows a source, which pushes each change. The process also pulls from the
    source at regular intervals, and thereby reports its applied revision. From time to
    time a process compares its configuration with a process that is not its source.

    A newly started process is ready once it has read the object API or, while that is
    unavailable, has caught up with several other processes that are ready.

    Parameters
    ----------
    peers : Peers
        Connections to other processes; not started yet.
    store : ObjectStore
        The platform's object API.
    view : ConfigurationView
        View that changes are applied to.
    members : MembersView, optional
        The processes of the deployment; an agent needs none, since it follows the
        entry hosts that are connected to it.

    Attributes
    ----------
    ready : trio.Event
        Set once the configuration is complete and may be used.
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
        self._comparison_rng = self._rng("checks")
        self._failed_until_s: dict[str, float] = {}
        self._confirming_peers: set[str] = set()
        self._names_requested_by: str | None = None
        self._has_gap = trio.Event()
        self._scope = trio.CancelScope()
        peers.register(ConfigurationDelta, self._on_delta)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to synchronize and to publish."""
        self.publisher.start(nursery)
        nursery.start_soon(self._run)

    def close(self) -> None:
        """Stop synchronizing."""
        self._scope.cancel()

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_until_ready)
                nursery.start_soon(self._pull_regularly)
                if self._identity.role == "entry":
                    nursery.start_soon(self._reader.run, self._is_reader)

    async def _read_until_ready(self) -> None:
        """Read the object API until this process is ready."""
        await self._reader.list_until(self.ready)
        self._mark_ready("store")

    def _mark_ready(self, source: str) -> None:
        if not self.ready.is_set():
            self.ready.set()
            log.info("configuration.ready", source=source, revision=self._view.revision)

    def _is_reader(self) -> bool:
        return self._identity.name in self._readers()

    def _readers(self) -> list[str]:
        data_centre = self._identity.data_centre
        return readers_of(data_centre, self._entry_hosts(data_centre))

    def _entry_hosts(self, data_centre: str | None = None) -> list[ProcessIdentity]:
        """Return the live entry hosts, including this process if it is one."""
        members = self._members.live("entry", data_centre) if self._members else []
        entry_hosts = [member.identity for member in members]
        own = self._identity
        if own.role == "entry" and all(entry.name != own.name for entry in entry_hosts):
            entry_hosts.append(own)
        return entry_hosts

    def _n_other_entry_hosts(self) -> int:
        """Return the number of other entry hosts that are not gone."""
        members = self._members.members("entry") if self._members else []
        return sum(
            member.state is not MemberState.GONE
            and member.identity.name != self._identity.name
            for member in members
        )

    async def _pull_regularly(self) -> None:
        rng = self._rng("pulls")
        # Each entry host serves many agents, which receive changes by push anyway.
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
        """Pull from the source, and from another process if a comparison is due."""
        sources = self._sources()
        source = choose_source(self._identity.name, sources, self._avoided())
        is_served = False
        if source is not None:
            is_served = await self._pull(sources[source], is_following=True)
        # A reader has no source, so it compares every time.
        if is_served and number % N_PULLS_PER_COMPARISON:
            return
        prefers_remote = number % 2 == 0 if source is None else not is_served
        peer = self._comparison_peer(source, prefers_remote)
        if peer is not None:
            await self._pull(peer, is_following=False)

    def _avoided(self) -> list[str]:
        now_s = trio.current_time()
        return [n for n, until_s in self._failed_until_s.items() if until_s > now_s]

    async def _pull_from_several(
        self, sources: dict[str, ProcessIdentity | Connection]
    ) -> None:
        """Pull from several processes at once, while this one is not ready."""
        others = dict(sources)
        if self._identity.role == "entry":
            for entry in self._entry_hosts():
                if entry.name != self._identity.name:
                    others.setdefault(entry.name, entry)
        async with trio.open_nursery() as nursery:
            for name in list(others)[: 2 * MIN_CONFIRMING_PEERS]:
                nursery.start_soon(self._pull, others[name], False)
        # Suspect entry hosts may have newer revisions than those that respond.
        n_needed = min(
            MIN_CONFIRMING_PEERS, max(len(others), self._n_other_entry_hosts())
        )
        if (
            n_needed
            and self._reader.has_failed
            and len(self._confirming_peers) >= n_needed
        ):
            self._mark_ready("peers")

    def _sources(self) -> dict[str, ProcessIdentity | Connection]:
        """Return the possible sources of this process, by name."""
        if self._identity.role != "entry":
            return {
                connection.identity.name: connection
                for connection in self._peers.accepted
                if connection.identity.role == "entry"
            }
        local = self._entry_hosts(self._identity.data_centre)
        readers = readers_of(self._identity.data_centre, local)
        if self._identity.name in readers:
            return {}
        return {entry.name: entry for entry in local if entry.name in readers}

    def _comparison_peer(
        self, source: str | None, prefers_remote: bool
    ) -> ProcessIdentity | Connection | None:
        if self._identity.role == "entry":
            return choose_comparison_peer(
                self._identity,
                self._entry_hosts(),
                self._avoided(),
                self._comparison_rng,
                prefers_remote=prefers_remote,
            )
        others = self._sources()
        others.pop(source or "", None)
        names = sorted(others)
        return others[self._comparison_rng.choice(names)] if names else None

    async def _pull(
        self, target: ProcessIdentity | Connection, is_following: bool
    ) -> bool:
        """Pull from a process until caught up; returns whether it responded."""
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
            self._confirming_peers.add(name)
        else:
            self._confirming_peers.discard(name)
        return True

    async def _connect(self, identity: ProcessIdentity) -> Connection:
        with trio.move_on_after(PULL_TIMEOUT_MS / 1000):
            return await self._peers.connection(identity.address)
        raise PeerTimeout(identity.name)

    async def _pull_over(self, connection: Connection, is_following: bool) -> bool:
        """Pull until caught up; returns whether the other process is ready."""
        view = self._view
        assembler = SnapshotAssembler(view)
        for _ in range(MAX_MESSAGES_PER_PULL):
            pull = self._next_pull(connection, assembler, is_following)
            reply = await connection.call(pull, PULL_TIMEOUT_MS)
            if is_following and getattr(reply, "wants_children", False):
                self._names_requested_by = connection.identity.name
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
                    if assembler.add(reply):
                        return reply.is_ready
        return False

    def _next_pull(
        self, connection: Connection, assembler: SnapshotAssembler, is_following: bool
    ) -> ConfigurationPull:
        revision, chunk = assembler.position
        report = None
        if is_following:
            with_names = self._names_requested_by == connection.identity.name
            self._names_requested_by = None
            report = self.publisher.report(with_names=with_names)
        own_state = (self._view.revision, self._view.digest)
        return ConfigurationPull(*own_state, is_following, report, revision, chunk)

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
