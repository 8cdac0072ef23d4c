"""Lets the processes of a deployment act together.

`HostList` follows the platform's list of hosts. `ConfigurationSync` keeps the
configuration in force up to date.
"""

from .configuration import ConfigurationSync, ListedMembers
from .hosts import HostEntry, HostList

__all__ = ["ConfigurationSync", "HostEntry", "HostList", "ListedMembers"]
