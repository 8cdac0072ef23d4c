"""Discovery of the other agents of a group while the store is unavailable.

Only entry hosts read the platform's list of hosts, so that the platform's load does
not grow with the number of agents. An agent queries the entry hosts that are connected
to it on demand.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ..errors import PoplarwardError
from ..protocol import Connection, Peers
from ..protocol.fences import GroupAgentsQuery, GroupAgentsReply
from ..transport import Address
from .hosts import ListedHost

__all__ = ["query_group_agents", "register_group_agents"]

QUERY_TIMEOUT_MS = 1000.0
MAX_QUERIED = 3


def register_group_agents(
    peers: Peers, hosts: Callable[[], Iterable[ListedHost]]
) -> None:
    """Register the handler of agents' queries on an entry host.

    Parameters
    ----------
    peers : Peers
        Not started yet.
    hosts : callable
        Returns the platform's list of hosts.
    """

    async def on_query(
        connection: Connection, query: GroupAgentsQuery
    ) -> GroupAgentsReply:
        return GroupAgentsReply(
            [
                (host.name, host.peers)
                for host in hosts()
                if host.role == "agent" and host.upstream == query.group
            ]
        )

    peers.register(GroupAgentsQuery, on_query)


async def query_group_agents(peers: Peers, group: str) -> list[Address] | None:
    """Return the addresses of the group's other agents, None if they are unknown.

    The lists of entry hosts lag behind, so several entry hosts are queried and their
    lists are merged. A list without the querying agent is too old and is ignored.
    """
    entries = [c for c in peers.accepted if c.identity.role == "entry"]
    entries.sort(key=lambda connection: connection.identity.name)
    found: dict[str, Address] = {}

    async def query_entry_host(connection: Connection) -> None:
        query = GroupAgentsQuery(group)
        try:
            reply = await connection.call(query, QUERY_TIMEOUT_MS)
        except PoplarwardError:
            return
        agents = dict(reply.agents)
        if peers.identity.name in agents:
            found.update(agents)

    async with trio.open_nursery() as nursery:
        for connection in entries[:MAX_QUERIED]:
            nursery.start_soon(query_entry_host, connection)
    if not found:
        return None
    return [found[name] for name in sorted(found) if name != peers.identity.name]
