"""Assignment of control roles to entry hosts.

Roles hash to a fixed number of slots with one lease each, so the number of slots bounds
the number of renewals, however many model groups there are. Rendezvous hashing
distributes the slots over the live entry hosts; when a host joins or leaves, only its
own slots move.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio
import xxhash

from ..hashing import rendezvous_ranking
from ..protocol import ProcessIdentity
from ..state import ObjectStore, Writer
from ..telemetry import get_logger
from .leases import Lease, LeaseCandidate, LeaseTiming

__all__ = ["ControlRoles", "holder_name", "map_role", "slot_of"]

N_SLOTS = 64
N_CANDIDATES = 3
RECONCILE_INTERVAL_MS = 500.0

log = get_logger("roles")


def slot_of(role: str, n_slots: int = N_SLOTS) -> str:
    """Return the name of the lease that a control role belongs to.

    Examples
    --------
    >>> slot_of("map/drafts") == slot_of("map/drafts")
    True
    """
    slot = xxhash.xxh3_64_intdigest(role.encode()) % n_slots
    return f"slot-{slot}-of-{n_slots}"


def map_role(group: str) -> str:
    """Return the control role of the leader for a model group's expert map."""
    return f"map/{group}"


def holder_name(identity: ProcessIdentity) -> str:
    """Return the lease holder name of one start of a process."""
    return f"{identity.name}:{identity.start_id:x}"


class ControlRoles:
    """The control roles that this entry host holds.

    Parameters
    ----------
    live_entry_hosts : callable
        Returns the names of the live entry hosts, including this one unless it is
        draining.
    roles : callable
        Returns all existing roles.
    """

    def __init__(
        self,
        store: ObjectStore,
        writer: Writer,
        identity: ProcessIdentity,
        live_entry_hosts: Callable[[], Iterable[str]],
        roles: Callable[[], Iterable[str]],
        timing: LeaseTiming | None = None,
        n_slots: int = N_SLOTS,
        clock: Callable[[], float] = trio.current_time,
    ):
        self._store = store
        self._writer = writer
        self._identity = identity
        self._live_entry_hosts = live_entry_hosts
        self._roles = roles
        self._timing = timing
        self._n_slots = n_slots
        self._clock = clock
        self._leases: dict[str, Lease] = {}
        self._entry_hosts: set[str] = set()
        self._ranks: dict[str, int | None] = {}
        self._nursery: trio.Nursery | None = None

    def fence(self, role: str) -> int | None:
        """Return the fencing number, None unless this host holds the role now."""
        lease = self._leases.get(slot_of(role, self._n_slots))
        return None if lease is None else lease.fence

    def held_slots(self) -> list[str]:
        """Return the slots whose leases this host holds now."""
        return [name for name, lease in self._leases.items() if lease.fence is not None]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to compete for the slots that this host is a candidate for."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Release every role, so that other hosts can take over at once."""
        async with trio.open_nursery() as nursery:
            for lease in self._leases.values():
                nursery.start_soon(lease.close)
        self._leases.clear()
        self._nursery = None

    async def _run(self) -> None:
        while self._nursery is not None:
            await self._reconcile()
            await trio.sleep(RECONCILE_INTERVAL_MS / 1000)

    async def _reconcile(self) -> None:
        slots = {slot_of(role, self._n_slots) for role in self._roles()}
        self._update_ranks(slots)
        for slot in sorted(slots):
            if slot not in self._leases and self._ranks[slot] is not None:
                await self._start_lease(slot)
        for slot, lease in list(self._leases.items()):
            if self._ranks.get(slot) is None and lease.fence is None:
                del self._leases[slot]
                await lease.close()

    def _update_ranks(self, slots: set[str]) -> None:
        """Update this host's rank for each slot, recomputing only what changed."""
        entry_hosts = set(self._live_entry_hosts())
        if entry_hosts != self._entry_hosts:
            self._entry_hosts = entry_hosts
            self._ranks.clear()
        for slot in self._ranks.keys() - slots:
            del self._ranks[slot]
        for slot in slots - self._ranks.keys():
            self._ranks[slot] = self._rank(slot)

    async def _start_lease(self, slot: str) -> None:
        candidate = LeaseCandidate(
            lambda: self._ranks.get(slot),
            lambda holder: self._precedes(slot, self._identity.name, holder),
            lambda requester: self._precedes(
                slot, _host_of(requester), self._identity.name
            ),
        )
        lease = Lease(
            self._store,
            slot,
            holder_name(self._identity),
            writer=self._writer,
            timing=self._timing,
            candidate=candidate,
            clock=self._clock,
        )
        self._leases[slot] = lease
        assert self._nursery is not None
        await lease.start(self._nursery)

    def _rank(self, slot: str) -> int | None:
        """Return how many live entry hosts precede this one, None if too many."""
        if self._identity.name not in self._entry_hosts:
            return None
        rank = rendezvous_ranking(slot, self._entry_hosts).index(self._identity.name)
        return rank if rank < N_CANDIDATES else None

    def _precedes(self, slot: str, first: str, second: str) -> bool:
        """Return whether a host precedes another; False unless both are live here.

        The order of two hosts does not depend on which other hosts are live, so two
        hosts with different lists never keep requesting the same slot from each other.
        """
        first, second = _host_of(first), _host_of(second)
        if not {first, second} <= self._entry_hosts:
            return False
        return first != second and rendezvous_ranking(slot, [first, second])[0] == first


def _host_of(holder: str) -> str:
    return holder.rpartition(":")[0] or holder
