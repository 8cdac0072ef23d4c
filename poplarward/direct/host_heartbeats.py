"""Heartbeats between entry hosts: which of them serve, and the load of each.

Each host sends CBOR datagrams to all others, at a regular interval and soon after its
load has changed. Each datagram carries the whole state, so the next one makes up for a
lost one. Liveness of a host is known without a call to the platform's store.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import trio

from ..errors import DecodeError
from ..hashing import rendezvous_ranking
from ..telemetry.logs import get_logger
from .clock import elapsed_ms, now_ms
from .heartbeat_format import HostHeartbeat, decode_heartbeat, encode_heartbeat
from .suspect_exchange import SuspectExchange
from .upstream_limits import UpstreamLimits

__all__ = ["HeartbeatExchange", "HostState"]

HEARTBEAT_INTERVAL_MS = 250.0  # A peer times out after four lost in a row.
PEER_TIMEOUT_MS = 1_000.0  # Less than a caller's timeout for a new connection.
RECENT_MS = 400.0  # Just over an interval.
# A group may be held for a change of its map while its leader is silent.
LEADER_INTERVAL_MS = 100.0
LEADER_TIMEOUT_MS = 400.0
LEADER_TIMEOUT_INTERVALS = 3.5  # Where many hosts allow only longer intervals.
ELECTION_DELAY_MS = 400.0  # Hosts that start together know of each other by then.
SLOWDOWN_WINDOW_MS = 300.0  # Just over an interval; older slowdowns may be over.
PEER_EXPIRY_MS = 60_000.0  # A host that is cut off for longer registers again.
MIN_INTERVAL_MS_PER_PEER = 2.5  # Limits each host to 400 datagrams per second.
MAX_DATAGRAM_BYTES = 8_192

log = get_logger("hosts")


class HostState(NamedTuple):
    """The part of a heartbeat that changes with a host's work; see `HostHeartbeat`."""

    loads: dict[str, int]
    slowness: dict[str, float]
    slowed_services: Sequence[str] = ()
    post_shift_skews: dict[str, float] = {}
    waiting_services: Sequence[str] = ()
    configuration_version: int = 0


class _Peer(NamedTuple):
    heartbeat: HostHeartbeat
    endpoint: tuple[str, int]
    received_at_ms: float


class HeartbeatExchange:
    """Sends this host's heartbeats, tracks its peers and elects the leader.

    Parameters
    ----------
    host, address : str
        This host's name, and its address for callers.
    read_state : callable
        Returns the state to send.
    is_serving : callable
        Returns whether callers should be sent to this host.
    on_change : callable
        Called with the peers' requests in flight at those upstreams where they changed.
    on_slowness : callable
        Called with the slow ranks that any host knows of.
    on_skews : callable
        Called with the post-shift skews that another host has sent.
    suspects : SuspectExchange, optional
        Verdicts on requests that crash upstreams, to be shared with the other hosts.
    limits : UpstreamLimits, optional
        Limits that upstreams name, to be shared with the other hosts.
    on_version : callable, optional
        Called with the version of the configuration in each heartbeat of another host.
    link_mbps : float
        Rate of this host's link. New maps for a whole group are sent over the leader's
        link, so the host with the fastest link is preferred.
    """

    def __init__(
        self,
        host: str,
        address: str,
        read_state: Callable[[], HostState],
        is_serving: Callable[[], bool],
        on_change: Callable[[dict[str, float]], None],
        on_slowness: Callable[[dict[str, float]], None] = lambda slowness: None,
        on_skews: Callable[[dict[str, float]], None] = lambda skews: None,
        link_mbps: float = 0.0,
        suspects: SuspectExchange | None = None,
        limits: UpstreamLimits | None = None,
        on_version: Callable[[int], None] = lambda version: None,
    ):
        self._on_version = on_version
        self._suspects = suspects
        self._limits = limits
        self._link_mbps = link_mbps
        self._on_skews = on_skews
        self._on_slowness = on_slowness
        self.host = host
        self.start_id = secrets.token_hex(4)
        self._address = address
        self._read_state = read_state
        self._is_serving = is_serving
        self._on_change = on_change
        self._peers: dict[str, _Peer] = {}
        self._peer_loads: dict[str, int] = {}
        self._timed_out: set[str] = set()
        self._endpoints: set[tuple[str, int]] = set()
        self._number = 0
        self._has_lead = False
        self._opened_at_ms = float("-inf")
        self._other_leader_seen_at_ms = float("-inf")
        self._other_leader: str | None = None
        self._socket: trio.socket.SocketType | None = None
        self._load_changed = trio.Event()

    async def start(self, ip: str, port: int) -> None:
        """Open the socket."""
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self._socket.bind((ip, port))
        self._opened_at_ms = now_ms()

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def add_endpoints(self, endpoints: Iterable[tuple[str, int]]) -> None:
        """Add addresses that other hosts may have."""
        self._endpoints.update(endpoints)

    def notify_load_change(self) -> None:
        """Send a heartbeat soon, as this host's load has changed."""
        self._load_changed.set()

    def live_heartbeats(
        self, timeout_ms: float = PEER_TIMEOUT_MS
    ) -> list[HostHeartbeat]:
        """Return the last heartbeats of the peers that have not timed out."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if elapsed_ms(peer.received_at_ms) < timeout_ms
        ]

    def count_hosts(self) -> int:
        """Return how many entry hosts there are, as far as known.

        Those that have timed out count until they expire: they may be cut off from this
        host alone, and take requests as before.
        """
        return 1 + len(self._peers)

    def reachable_fraction(self) -> float:
        """Return which fraction of the known entry hosts is heard of, with this one.

        A host whose heartbeats are late counts as not heard of, before it times out.
        """
        interval_ms = self._min_interval_ms()
        recent = self.live_heartbeats(max(RECENT_MS, 2 * interval_ms))
        return (1 + len(recent)) / self.count_hosts()

    def waiting_hosts(self, service: str) -> list[str]:
        """Return the other hosts at which requests wait for a service."""
        return [
            heartbeat.host
            for heartbeat in self.live_heartbeats()
            if service in heartbeat.waiting_services
        ]

    def is_chosen(self, key: str) -> bool:
        """Return whether this host is the one of all serving hosts that a key picks."""
        serving = [b.host for b in self.live_heartbeats() if b.is_serving]
        return rendezvous_ranking(key, [self.host, *serving])[0] == self.host

    def serving_addresses(self) -> list[str]:
        """Return the addresses for callers, this host's first if it serves."""
        own = [self._address] if self._is_serving() else []
        return own + sorted(b.address for b in self.live_heartbeats() if b.is_serving)

    def update_leadership(self) -> bool:
        """Return whether this host is now the leader, which manages the groups' maps.

        A leader remains one while it serves, as a successor has to learn the demand
        first. If there is none, or more than one, the host with the fastest link is
        chosen, and the first by name among equals.
        """
        is_new = elapsed_ms(self._opened_at_ms) < ELECTION_DELAY_MS
        if is_new or not self._is_serving():
            self._has_lead = False
            return False
        heartbeats = self.live_heartbeats(self._leader_timeout_ms())
        serving = [heartbeat for heartbeat in heartbeats if heartbeat.is_serving]
        leaders = [heartbeat for heartbeat in serving if heartbeat.is_leader]
        if leaders and not self._has_lead:
            return False
        rivals = leaders if self._has_lead else serving
        own_rank = -self._link_mbps, self.host
        self._has_lead = all(own_rank < (-b.link_mbps, b.host) for b in rivals)
        return self._has_lead

    def ms_since_other_leader(self) -> float:
        """Return the time since another host last announced itself as leader."""
        return elapsed_ms(self._other_leader_seen_at_ms)

    async def run(self) -> None:
        """Send and receive heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send_periodically)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat to all other hosts."""
        self._number += 1
        state = self._read_state()
        heartbeat = HostHeartbeat(
            self.host,
            self.start_id,
            self._number,
            self._address,
            self._is_serving(),
            state.loads,
            state.slowness,
            self._has_lead,
            state.slowed_services,
            state.post_shift_skews,
            self._link_mbps,
            limits=self._limits.next_reports(now_ms()) if self._limits else (),
            waiting_services=state.waiting_services,
            configuration_version=state.configuration_version,
        )
        data = encode_heartbeat(heartbeat)
        if self._suspects is not None:
            verdicts = self._suspects.next_verdicts(
                MAX_DATAGRAM_BYTES - len(data), self.count_hosts()
            )
            if verdicts:
                heartbeat = heartbeat._replace(
                    verdicts=[v for v in verdicts if not v.is_part],
                    part_verdicts=[v for v in verdicts if v.is_part],
                )
                data = encode_heartbeat(heartbeat)
        # trio would let other tasks run after each datagram.
        raw = self._socket._sock
        for endpoint in self._endpoints:
            try:
                raw.sendto(data, endpoint)
            except OSError as error:
                log.debug("hosts.send_failed", endpoint=endpoint[0], reason=str(error))
        await trio.lowlevel.checkpoint()

    async def _send_periodically(self) -> None:
        while True:
            self._load_changed = trio.Event()
            await self.send_heartbeat()
            self._expire_peers()
            min_interval_ms = self._min_interval_ms()
            await trio.sleep(min_interval_ms / 1000)
            rest_ms = max(0.0, self._max_interval_ms() - min_interval_ms)
            with trio.move_on_after(rest_ms / 1000):
                await self._load_changed.wait()

    def _min_interval_ms(self) -> float:
        return max(10.0, MIN_INTERVAL_MS_PER_PEER * len(self._endpoints))

    def _max_interval_ms(self) -> float:
        return LEADER_INTERVAL_MS if self._has_lead else HEARTBEAT_INTERVAL_MS

    def _leader_timeout_ms(self) -> float:
        interval_ms = max(LEADER_INTERVAL_MS, self._min_interval_ms())
        return max(LEADER_TIMEOUT_MS, LEADER_TIMEOUT_INTERVALS * interval_ms)

    async def _receive(self) -> None:
        while True:
            data, endpoint = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                heartbeat = decode_heartbeat(data)
            except DecodeError as error:
                log.warning(
                    "hosts.heartbeat_invalid", sender=endpoint[0], reason=str(error)
                )
                continue
            if heartbeat.host != self.host:
                self._take(heartbeat, endpoint)

    def _take(self, heartbeat: HostHeartbeat, endpoint: tuple[str, int]) -> None:
        previous = self._peers.get(heartbeat.host)
        if (
            previous is not None
            and previous.heartbeat.start_id == heartbeat.start_id
            and previous.heartbeat.sequence_number >= heartbeat.sequence_number
        ):
            return
        counted_loads = previous.heartbeat.loads if previous is not None else {}
        if previous is None or heartbeat.host in self._timed_out:
            counted_loads = {}
            log.info(
                "hosts.peer_appeared", peer=heartbeat.host, serving=heartbeat.is_serving
            )
            self._timed_out.discard(heartbeat.host)
        self._endpoints.add(endpoint)
        self._take_verdicts(heartbeat, previous)
        self._on_version(heartbeat.configuration_version)
        self._update_peer_loads(counted_loads, heartbeat.loads)
        if self._limits is not None and heartbeat.limits:
            self._limits.merge(
                heartbeat.host, heartbeat.start_id, heartbeat.limits, now_ms()
            )
        if heartbeat.is_leader:
            self._other_leader_seen_at_ms, self._other_leader = now_ms(), heartbeat.host
        elif heartbeat.host == self._other_leader:
            # The host gave up leadership, so it has finished its last change.
            self._other_leader_seen_at_ms, self._other_leader = float("-inf"), None
        self._peers[heartbeat.host] = _Peer(heartbeat, endpoint, now_ms())
        if heartbeat.post_shift_skews:
            self._on_skews(heartbeat.post_shift_skews)
        if previous is None or previous.heartbeat.slowness != heartbeat.slowness:
            self._on_slowness(self.slowness())

    def _take_verdicts(self, heartbeat: HostHeartbeat, previous: _Peer | None) -> None:
        if self._suspects is None:
            return
        if heartbeat.verdicts or heartbeat.part_verdicts:
            self._suspects.merge((*heartbeat.verdicts, *heartbeat.part_verdicts))
        if previous is None or previous.heartbeat.start_id != heartbeat.start_id:
            self._suspects.resend_lasting()

    def slowness(self) -> dict[str, float]:
        """Return the slow ranks that this host or a live peer knows of."""
        total = dict(self._read_state().slowness)
        for heartbeat in self.live_heartbeats():
            total |= heartbeat.slowness
        return total

    def n_hosts_slowed(self, service: str) -> int:
        """Return how many hosts have just seen a service's streams slow down."""
        recent = [
            heartbeat.slowed_services
            for heartbeat in self.live_heartbeats(SLOWDOWN_WINDOW_MS)
        ]
        return sum(service in s for s in (*recent, self._read_state().slowed_services))

    def _update_peer_loads(self, before: dict[str, int], now: dict[str, int]) -> None:
        """Replace a peer's requests in flight, by upstream, in the sum of all."""
        if before == now:
            return
        changed: dict[str, int] = {}
        for upstream_id in before.keys() | now.keys():
            added = now.get(upstream_id, 0) - before.get(upstream_id, 0)
            if added:
                changed[upstream_id] = self._peer_loads.get(upstream_id, 0) + added
        self._peer_loads |= changed
        for upstream_id, n_requests in changed.items():
            if not n_requests:
                del self._peer_loads[upstream_id]
        self._on_change(changed)

    def _expire_peers(self) -> None:
        for name, peer in list(self._peers.items()):
            age_ms = elapsed_ms(peer.received_at_ms)
            if age_ms >= PEER_TIMEOUT_MS and name not in self._timed_out:
                self._timed_out.add(name)
                log.warning("hosts.peer_timed_out", peer=name, age_ms=int(age_ms))
                self._update_peer_loads(peer.heartbeat.loads, {})
            if age_ms >= PEER_EXPIRY_MS:
                del self._peers[name]
                self._endpoints.discard(peer.endpoint)
                self._timed_out.discard(name)
