"""Coordination between the processes of a deployment.

`HostList` polls the platform's list of hosts. `ConfigurationSync` keeps the applied
configuration up to date. `ControlRoles` tracks the control roles that this host holds
through leases. A `FenceGuard` rejects commands of a former holder.
"""

import lazy_loader

# Lazy imports: programs load only the modules that they use.
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
