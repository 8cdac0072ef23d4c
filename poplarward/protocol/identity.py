"""Identities of processes and requests, never reused after a restart."""

from __future__ import annotations

import secrets
from typing import NamedTuple

from ..transport import Address

__all__ = ["ProcessIdentity", "RequestId", "new_start_id"]


def new_start_id() -> int:
    """Return a random 63-bit number that identifies one start of a process."""
    return secrets.randbits(63)


class ProcessIdentity(NamedTuple):
    """One start of one process.

    Attributes
    ----------
    role : str
        ``entry`` or ``agent``.
    name : str
        Name of the process from its settings, unique in the deployment.
    start_id : int
        Random number of this start; a restarted process has a new one.
    address : Address
        Address at which the process accepts connections from other processes.
    data_centre : str
        Data centre from its settings.
    """

    role: str
    name: str
    start_id: int
    address: Address
    data_centre: str


class RequestId(NamedTuple):
    """Identity of a request, unique across all hosts and restarts.

    Examples
    --------
    >>> str(RequestId("entry-1", 11, 7))
    'entry-1.b.7'
    """

    entry: str
    start_id: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.entry}.{self.start_id:x}.{self.sequence}"
