"""Polls the platform's list of live and draining hosts, which lags behind."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import trio
from pydantic import TypeAdapter, ValidationError

from ..errors import UpstreamUnreachable
from ..telemetry import get_logger
from ..transport import Address, HttpAccess, HttpClient
from ..transport.decoding import decode_json_partly

__all__ = ["HostList", "ListedHost", "parse_host_list", "poll_interval_ms"]

MIN_POLL_INTERVAL_MS = 1000.0
LIST_BYTES_PER_S = 8000
HOSTS_PER_SLICE = 500

log = get_logger("hosts")


def poll_interval_ms(n_bytes: int) -> float:
    """Return the poll interval for a list of some size, to limit the byte rate.

    Entry hosts poll at independent times and disseminate changes, so the more entry
    hosts there are, the sooner a change is found.

    Examples
    --------
    >>> poll_interval_ms(3_000), poll_interval_ms(1_600_000)
    (1000.0, 200000.0)
    """
    return max(MIN_POLL_INTERVAL_MS, n_bytes / LIST_BYTES_PER_S * 1000)


class ListedHost(NamedTuple):
    """A host in the platform's list.

    Attributes
    ----------
    name : str
        Name of the process.
    role : str
        ``entry`` or ``agent``.
    data_centre : str
    state : str
        ``live`` or ``leaving``.
    peers_address : Address
        Address at which the process accepts connections of other processes.
    callers_address : Address, optional
        Address at which an entry host accepts callers' requests.
    upstream : str, optional
        Model group or plain service that an agent belongs to.
    """

    name: str
    role: Literal["entry", "agent"]
    data_centre: str
    state: Literal["live", "leaving"]
    peers_address: str
    callers_address: str = ""
    upstream: str = ""

    @property
    def peers(self) -> Address:
        """The peers' address, parsed."""
        return Address.parse(self.peers_address)


_HOSTS = TypeAdapter(list[ListedHost])


async def parse_host_list(body: bytes) -> dict[str, ListedHost]:
    """Parse and validate a host list in slices; returns the hosts by name.

    Entries that can't be read are logged and left out. Raises `ValueError`, `KeyError`
    or `ValidationError` for an invalid list, or one without an entry that can be read.
    """
    document = decode_json_partly(body)
    entries = document["hosts"] if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ValueError("the value of 'hosts' is not a list")
    hosts: dict[str, ListedHost] = {}
    for first in range(0, len(entries), HOSTS_PER_SLICE):
        await trio.lowlevel.checkpoint()
        found = _readable_hosts(entries[first : first + HOSTS_PER_SLICE])
        hosts.update((host.name, host) for host in found)
    if entries and not hosts:
        raise ValueError("no entry of 'hosts' can be read")
    return hosts


def _readable_hosts(entries: list[Any]) -> list[ListedHost]:
    """Return the hosts of those entries that can be read."""
    try:
        hosts = _HOSTS.validate_python(entries)
    except ValidationError as error:
        if len(entries) > 1:
            return [host for entry in entries for host in _readable_hosts([entry])]
        log.warning("hosts.entry_unreadable", reason=str(error)[:300])
        return []
    return [host for host in hosts if _has_addresses(host)]


def _has_addresses(host: ListedHost) -> bool:
    texts = filter(None, (host.peers_address, host.callers_address))
    is_valid = bool(host.peers_address) and all(map(Address.is_valid, texts))
    if not is_valid:
        log.warning("hosts.entry_unreadable", name=host.name, reason="address")
    return is_valid


class HostList:
    """The host list that was last read from the platform.

    Attributes
    ----------
    hosts : dict
        Hosts by name; kept unchanged while the platform does not respond.
    n_reads : int
        Number of times that the list was read.
    on_change : list of callable
        Called after each change of the list.
    """

    def __init__(self, base_url: str, access: HttpAccess | None = None):
        self.hosts: dict[str, ListedHost] = {}
        self.n_reads = 0
        self.on_change: list[Callable[[], None]] = []
        self._client = HttpClient(base_url, n_connections=2, access=access)
        self._rng = random.Random()
        self._n_bytes = 0

    def listed_hosts(self) -> list[ListedHost]:
        """Return all hosts of the last list."""
        return list(self.hosts.values())

    def with_role(self, role: str) -> list[ListedHost]:
        """Return the hosts with a role, ordered by name."""
        found = [host for host in self.hosts.values() if host.role == role]
        return sorted(found)

    async def start(self, nursery: trio.Nursery) -> None:
        """Read the list once and start to poll it."""
        await self._poll()
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self._client.close()

    async def _run(self) -> None:
        while True:
            interval_ms = poll_interval_ms(self._n_bytes)
            await trio.sleep(self._rng.uniform(0.5, 1.5) * interval_ms / 1000)
            await self._poll()

    async def _poll(self) -> None:
        try:
            response = await self._client.call("GET", "/hosts", timeout_ms=2000)
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            hosts = await parse_host_list(response.body)
            self._n_bytes = len(response.body)
        except (UpstreamUnreachable, ValidationError, ValueError, KeyError) as error:
            log.warning("hosts.unreadable", reason=str(error))
            return
        self.n_reads += 1
        if hosts != self.hosts:
            self.hosts = hosts
            for callback in self.on_change:
                callback()
