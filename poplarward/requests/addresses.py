"""Chooses the entry hosts whose addresses a caller receives."""

from __future__ import annotations

from collections.abc import Sequence

from ..coordination.membership import Member
from ..hashing import rendezvous_ranking

__all__ = ["choose_addresses"]

MAX_ADDRESSES = 6
MAX_REMOTE_ADDRESSES = 2


def choose_addresses(
    members: Sequence[Member], data_centre: str, caller_host: str
) -> list[str]:
    """Return a few callers' addresses of entry hosts, preferred ones first.

    Hosts of the local data centre come first and two of other data centres last, for
    the case that the local one is partitioned. Callers are spread by rendezvous hashing
    of their address, so that each keeps using the same hosts while these are live.

    Parameters
    ----------
    members : sequence of Member
        Live entry hosts.
    data_centre : str
        Data centre of the host that the caller has asked.
    caller_host : str
        The caller's IP number.
    """
    address_of = {m.identity.name: m.callers_address for m in members}
    is_local = {m.identity.name: m.identity.data_centre == data_centre for m in members}
    ranking = rendezvous_ranking(caller_host, (n for n, a in address_of.items() if a))
    local = [name for name in ranking if is_local[name]]
    remote = [name for name in ranking if not is_local[name]]
    n_remote = max(MAX_REMOTE_ADDRESSES, MAX_ADDRESSES - len(local))
    chosen = [*local[: MAX_ADDRESSES - MAX_REMOTE_ADDRESSES], *remote[:n_remote]]
    return [address_of[name] for name in chosen]
