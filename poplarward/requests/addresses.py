"""Chooses the entry hosts that a caller is told to use."""

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
    """Return a few callers' addresses of entry hosts, those to prefer first.

    Hosts of the own data centre come first and two of other data centres last, for
    when the own one is cut off. Callers are spread by rendezvous hashing of their
    address, so that each goes on using the same hosts while these are live.

    Parameters
    ----------
    members : sequence of Member
        Live entry hosts.
    data_centre : str
        The asked host's own data centre.
    caller_host : str
        The caller's IP number.
    """
    address_of = {m.identity.name: m.callers_address for m in members}
    is_near = {m.identity.name: m.identity.data_centre == data_centre for m in members}
    ranking = rendezvous_ranking(caller_host, (n for n, a in address_of.items() if a))
    near = [name for name in ranking if is_near[name]]
    far = [name for name in ranking if not is_near[name]]
    n_far = max(MAX_REMOTE_ADDRESSES, MAX_ADDRESSES - len(near))
    chosen = [*near[: MAX_ADDRESSES - MAX_REMOTE_ADDRESSES], *far[:n_far]]
    return [address_of[name] for name in chosen]
