"""Lets the processes of a deployment act together.

`HostList` follows the platform's list of hosts. `ConfigurationSync` keeps the
configuration in force up to date. `ControlRoles` says which control roles this host
holds, by leases; a `FenceGuard` refuses the orders of a former holder.
"""

from .configuration import ConfigurationSync, ListedMembers
from .fencing import FenceGuard, FenceKeeper
from .hosts import HostEntry, HostList
from .leases import Lease, LeaseTiming
from .membership import Membership, Presence
from .roles import ControlRoles, map_role

__all__ = [
    "ConfigurationSync",
    "ControlRoles",
    "FenceGuard",
    "FenceKeeper",
    "HostEntry",
    "HostList",
    "Lease",
    "LeaseTiming",
    "Membership",
    "Presence",
    "ListedMembers",
    "map_role",
]
