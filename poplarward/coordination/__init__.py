"""Lets the processes of a deployment act together.

`HostList` follows the platform's list of hosts. `ConfigurationSync` keeps the
configuration in force up to date. `ControlRoles` says which control roles this host
holds, by leases; a `FenceGuard` refuses the orders of a former holder.
"""

import lazy_loader

# Programs start with the modules that they use, not with all of the package.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "configuration": ["ConfigurationSync"],
        "fencing": ["FenceGuard", "FenceSync"],
        "hosts": ["ListedHost", "HostList"],
        "leases": ["Lease", "LeaseTiming"],
        "membership": ["Member", "Membership", "LocalMember"],
        "roles": ["ControlRoles", "map_role"],
    },
)
