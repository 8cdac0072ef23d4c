"""Tells the entry hosts of each other: who serves, and what each has in hand.

Datagrams of CBOR between the hosts, one host to all others: in a regular interval, and
soon after a host's load has changed. Each carries the whole state, so a lost one is
made up for by the next. No call to the platform's store is needed to see that a host
lives.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import cbor2
import trio

from ..errors import DecodeError
from ..telemetry.logs import get_logger
from .clock import elapsed_ms, now_ms

__all__ = [
    "HeartbeatExchange",
    "HostHeartbeat",
    "HostState",
    "decode_heartbeat",
    "encode_heartbeat",
]

FORMAT = 1
HEARTBEAT_INTERVAL_MS = 250.0  # Four lost in a row make a host silent.
PEER_TIMEOUT_MS = 1_000.0  # Below a caller's timeout for a new connection.
LEADER_TIMEOUT_MS = 600.0  # Two beats; a change may keep a whole group waiting.
ELECTION_DELAY_MS = 400.0  # Hosts that start together have heard of each other.
SLOWDOWN_WINDOW_MS = 300.0  # Beyond a beat; what was said before may be over.
PEER_EXPIRY_MS = 60_000.0  # A host that is cut off for longer registers again.
MIN_INTERVAL_MS_PER_PEER = 2.5  # Bounds updates to 400 datagrams a second and host.
MAX_DATAGRAM_BYTES = 8_192

log = get_logger("hosts")


class HostHeartbeat(NamedTuple):
    """What an entry host says of itself.

    Attributes
    ----------
    host : str
    start_id : str
        New for each start of the process.
    number : int
        Rises with each beat of a start.
    address : str
        Where callers reach it.
    is_serving : bool
        Whether callers should be sent there.
    loads : dict
        Requests in hand by upstream.
    slowness : dict
        Ranks that are slower than others, as the host that reads their reports knows.
    is_leading : bool
        Whether it tends the rank groups' maps.
    slowed_services : sequence of str
        Services whose streams have all at once become slower here.
    post_shift_skews : dict
        By service, the busiest rank's work over the mean on a map made for another
        demand, as the host that tends the maps has seen of late.
    link_mbps : float
        Rate of the host's link, 0 if it does not say.
    """

    host: str
    start_id: str
    number: int
    address: str
    is_serving: bool
    loads: dict[str, int]
    slowness: dict[str, float]
    is_leading: bool
    slowed_services: Sequence[str] = ()
    post_shift_skews: dict[str, float] = {}
    link_mbps: float = 0.0


class HostState(NamedTuple):
    """What a host tells in its beats of its work; see `HostHeartbeat`."""

    loads: dict[str, int]
    slowness: dict[str, float]
    slowed_services: Sequence[str] = ()
    post_shift_skews: dict[str, float] = {}


def encode_heartbeat(beat: HostHeartbeat) -> bytes:
    """Return the bytes of a beat."""
    return cbor2.dumps([FORMAT, *beat])


def decode_heartbeat(data: bytes) -> HostHeartbeat:
    """Return the beat in a datagram; raises `DecodeError`.

    Examples
    --------
    >>> beat = HostHeartbeat(
    ...     "entry-1", "a1", 7, "10.0.0.1:80", True, {"u-1": 2}, {}, False
    ... )
    >>> decode_heartbeat(encode_heartbeat(beat)) == beat
    True
    """
    try:
        version, *fields = cbor2.loads(data)
        # Hosts of a later release may say more, those of an earlier one less.
        beat = HostHeartbeat(*fields[: len(HostHeartbeat._fields)])
        loads = {str(key): int(n) for key, n in beat.loads.items()}
        slowness = {str(key): float(x) for key, x in beat.slowness.items()}
        slowed = tuple(map(str, beat.slowed_services))
        skews = {str(key): float(x) for key, x in beat.post_shift_skews.items()}
        is_sound = isinstance(beat.host, str) and isinstance(beat.number, int)
        is_sound = is_sound and isinstance(beat.link_mbps, (int, float))
    except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"not a beat: {error}") from error
    if version != FORMAT or not is_sound:
        raise DecodeError(f"beat of format {version}")
    return beat._replace(
        loads=loads, slowness=slowness, slowed_services=slowed, post_shift_skews=skews
    )


class _Peer(NamedTuple):
    beat: HostHeartbeat
    endpoint: tuple[str, int]
    heard_at_ms: float


class HeartbeatExchange:
    """The beats of this host and of the others.

    Parameters
    ----------
    host, address : str
        This host's name, and where callers reach it.
    read_state : callable
        Returns what this host has to tell.
    is_serving : callable
        Returns whether callers should be sent here.
    on_change : callable
        Called with the others' requests in hand by upstream.
    on_slowness : callable
        Called with the slow ranks that any host has read of.
    on_skews : callable
        Called with the shifted skews that another host has told.
    link_mbps : float
        Rate of this host's link. New maps of a whole group have to pass the link of
        the host that tends it, so the fastest is preferred.
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
    ):
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
        self._silent: set[str] = set()
        self._endpoints: set[tuple[str, int]] = set()
        self._number = 0
        self._has_lead = False
        self._opened_at_ms = float("-inf")
        self._other_led_at_ms = float("-inf")
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
        """Learn where other hosts may be."""
        self._endpoints.update(endpoints)

    def notify_load_change(self) -> None:
        """Tell the others soon that this host's load has changed."""
        self._load_changed.set()

    def live(self, silent_after_ms: float = PEER_TIMEOUT_MS) -> list[HostHeartbeat]:
        """Return the last beats of the other hosts that are heard of."""
        return [
            peer.beat
            for peer in self._peers.values()
            if elapsed_ms(peer.heard_at_ms) < silent_after_ms
        ]

    def serving_addresses(self) -> list[str]:
        """Return where callers should go, this host first if it serves."""
        own = [self._address] if self._is_serving() else []
        return own + sorted(b.address for b in self.live() if b.is_serving)

    def update_leadership(self) -> bool:
        """Whether this host is to tend the rank groups' maps, for all hosts alike.

        Whoever does so keeps on while it serves: a successor has to learn first.
        Without such a host, and of several, it is the one with the fastest link, the
        first by name among equals.
        """
        is_new = elapsed_ms(self._opened_at_ms) < ELECTION_DELAY_MS
        if is_new or not self._is_serving():
            self._has_lead = False
            return False
        beats = self.live(LEADER_TIMEOUT_MS)
        serving = [beat for beat in beats if beat.is_serving]
        leading = [beat for beat in serving if beat.is_leading]
        if leading and not self._has_lead:
            return False
        rivals = leading if self._has_lead else serving
        own_rank = -self._link_mbps, self.host
        self._has_lead = all(own_rank < (-b.link_mbps, b.host) for b in rivals)
        return self._has_lead

    def ms_since_other_leader(self) -> float:
        """Return how long ago another host last said that it has the lead."""
        return elapsed_ms(self._other_led_at_ms)

    async def run(self) -> None:
        """Send and receive beats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send_regularly)

    async def send_heartbeat(self) -> None:
        """Send one beat to all others."""
        self._number += 1
        state = self._read_state()
        beat = HostHeartbeat(
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
        )
        data = encode_heartbeat(beat)
        for endpoint in list(self._endpoints):
            try:
                await self._socket.sendto(data, endpoint)
            except OSError as error:
                log.debug("hosts.unsent", endpoint=endpoint[0], reason=str(error))

    async def _send_regularly(self) -> None:
        while True:
            self._load_changed = trio.Event()
            await self.send_heartbeat()
            self._note_silent()
            gap_ms = max(10.0, MIN_INTERVAL_MS_PER_PEER * len(self._endpoints))
            await trio.sleep(gap_ms / 1000)
            with trio.move_on_after(
                (HEARTBEAT_INTERVAL_MS - min(gap_ms, HEARTBEAT_INTERVAL_MS)) / 1000
            ):
                await self._load_changed.wait()

    async def _receive(self) -> None:
        while True:
            data, endpoint = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                beat = decode_heartbeat(data)
            except DecodeError as error:
                log.warning("hosts.bad_beat", sender=endpoint[0], reason=str(error))
                continue
            if beat.host != self.host:
                self._take(beat, endpoint)

    def _take(self, beat: HostHeartbeat, endpoint: tuple[str, int]) -> None:
        held = self._peers.get(beat.host)
        if (
            held is not None
            and held.beat.start_id == beat.start_id
            and held.beat.number >= beat.number
        ):
            return
        if held is None or beat.host in self._silent:
            log.info("hosts.heard", peer=beat.host, serving=beat.is_serving)
            self._silent.discard(beat.host)
        self._endpoints.add(endpoint)
        if beat.is_leading:
            self._other_led_at_ms, self._other_leader = now_ms(), beat.host
        elif beat.host == self._other_leader:
            # It has ended its last change.
            self._other_led_at_ms, self._other_leader = float("-inf"), None
        self._peers[beat.host] = _Peer(beat, endpoint, now_ms())
        if held is None or held.beat.loads != beat.loads:
            self._on_change(self.peer_loads())
        if beat.post_shift_skews:
            self._on_skews(beat.post_shift_skews)
        if held is None or held.beat.slowness != beat.slowness:
            self._on_slowness(self.slowness())

    def slowness(self) -> dict[str, float]:
        """Return the slow ranks that this host or a live other has read of."""
        total = dict(self._read_state().slowness)
        for beat in self.live():
            total |= beat.slowness
        return total

    def n_hosts_slowed(self, service: str) -> int:
        """Return how many hosts just saw a service's streams become slower."""
        told = [beat.slowed_services for beat in self.live(SLOWDOWN_WINDOW_MS)]
        return sum(service in s for s in (*told, self._read_state().slowed_services))

    def peer_loads(self) -> dict[str, float]:
        """Return the requests in hand of all live others by upstream."""
        total: dict[str, float] = {}
        for beat in self.live():
            for upstream_id, n_requests in beat.loads.items():
                total[upstream_id] = total.get(upstream_id, 0.0) + n_requests
        return total

    def _note_silent(self) -> None:
        for name, peer in list(self._peers.items()):
            age_ms = elapsed_ms(peer.heard_at_ms)
            if age_ms >= PEER_TIMEOUT_MS and name not in self._silent:
                self._silent.add(name)
                log.warning("hosts.silent", peer=name, age_ms=int(age_ms))
                self._on_change(self.peer_loads())
            if age_ms >= PEER_EXPIRY_MS:
                del self._peers[name]
                self._endpoints.discard(peer.endpoint)
                self._silent.discard(name)
