"""Lets the processes of a deployment act together.

Membership, leases, configuration, expert maps and rebalancing.
"""

__all__: list[str] = []
