"""Lets the processes of a deployment act together.

`HostList` follows the platform's list of hosts. `ConfigurationFollower` keeps the
configuration in force up to date.
"""

from .configuration import ConfigurationFollower
from .hosts import HostEntry, HostList

__all__ = ["ConfigurationFollower", "HostEntry", "HostList"]
