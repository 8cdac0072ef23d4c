"""Lets the processes of a deployment act together.

`HostList` follows the platform's list of hosts. `ConfigurationSync` keeps the
configuration in force up to date. `ControlRoles` says which control roles this host
holds, by leases; a `FenceGuard` refuses the orders of a former holder.
"""

from .configuration import ConfigurationSync, ListedMembers
from .fencing import FenceGuard, FenceKeeper
from .hosts import HostEntry, HostList, is_leaving
from .leases import Lease, LeaseTiming
from .roles import ControlRoles

__all__ = [
    "ConfigurationSync",
    "ControlRoles",
    "FenceGuard",
    "FenceKeeper",
    "HostEntry",
    "HostList",
    "Lease",
    "LeaseTiming",
    "ListedMembers",
    "is_leaving",
]
