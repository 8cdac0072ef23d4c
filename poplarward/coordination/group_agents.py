"""Lets an agent find the other agents of its group while the store is away.

Only entry hosts read the platform's list of hosts, so that its load does not grow
with the agents. An agent asks those that are connected to it, when it needs to.
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
MAX_ASKED = 3


def register_group_agents(
    peers: Peers, hosts: Callable[[], Iterable[ListedHost]]
) -> None:
    """Answer agents on an entry host.

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
    """Return the addresses of the group's other agents, None if nobody knows them.

    Several entry hosts are asked and all that any of them lists count, since their
    lists lag. A list without the asking agent is too old to be used.
    """
    entries = [c for c in peers.accepted if c.identity.role == "entry"]
    entries.sort(key=lambda connection: connection.identity.name)
    found: dict[str, Address] = {}

    async def ask(connection: Connection) -> None:
        query = GroupAgentsQuery(group)
        try:
            reply = await connection.call(query, QUERY_TIMEOUT_MS)
        except PoplarwardError:
            return
        agents = dict(reply.agents)
        if peers.identity.name in agents:
            found.update(agents)

    async with trio.open_nursery() as nursery:
        for connection in entries[:MAX_ASKED]:
            nursery.start_soon(ask, connection)
    if not found:
        return None
    return [found[name] for name in sorted(found) if name != peers.identity.name]
