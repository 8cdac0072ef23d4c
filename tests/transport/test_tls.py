"""Processes connect only to peers with a certificate of their authority."""

from __future__ import annotations

import ssl

import pytest
import trustme

from poplarward.errors import PeerTimeout, PeerUnreachable
from poplarward.protocol import Peers, ProcessIdentity, message
from poplarward.transport import (
    Address,
    TlsFiles,
    WebSocketNetwork,
    client_context,
    server_context,
)

HOST = "127.0.0.1"


@message(9_151)
class Command:
    text: str


def files_of(directory, name, authority, ip=HOST) -> TlsFiles:
    paths = [directory / f"{name}-{part}.pem" for part in ("cert", "key", "ca")]
    issued = authority.issue_cert(ip)
    paths[0].write_bytes(b"".join(blob.bytes() for blob in issued.cert_chain_pems))
    issued.private_key_pem.write_to_path(str(paths[1]))
    authority.cert_pem.write_to_path(str(paths[2]))
    return TlsFiles(*map(str, paths))


def network_of(files: TlsFiles) -> WebSocketNetwork:
    return WebSocketNetwork(client_context(files), server_context(files))


def without_certificate(files: TlsFiles) -> WebSocketNetwork:
    context = ssl.create_default_context(cafile=files.authority)
    return WebSocketNetwork(context, server_context(files))


def make_peers(network, name) -> Peers:
    identity = ProcessIdentity("agent", name, 1, Address(HOST, 0), "rennes")
    return Peers(network, identity, "secret")


@pytest.mark.parametrize(
    "client, server_ip, is_accepted",
    [
        ("same authority", HOST, True),
        ("no certificate", HOST, False),
        ("other authority", HOST, False),
        ("no TLS", HOST, False),
        ("same authority", "127.0.0.9", False),
    ],
)
async def test_command_is_accepted_only_with_a_certificate(
    client, server_ip, is_accepted, nursery, tmp_path
):
    authority, other = trustme.CA(), trustme.CA()
    server_files = files_of(tmp_path, "server", authority, server_ip)
    client_files = files_of(tmp_path, "client", authority)
    other_files = files_of(tmp_path, "other", other)
    untrusted_files = TlsFiles(
        other_files.certificate, other_files.key, client_files.authority
    )
    networks = {
        "same authority": lambda: network_of(client_files),
        "no certificate": lambda: without_certificate(client_files),
        "other authority": lambda: network_of(untrusted_files),
        "no TLS": WebSocketNetwork,
    }
    server = make_peers(network_of(server_files), "server")
    commands = []

    async def record(connection, command: Command) -> Command:
        commands.append(command)
        return command

    server.register(Command, record)
    sender = make_peers(networks[client](), "sender")
    await server.start(nursery)
    await sender.start(nursery)
    address = server.identity.address
    if is_accepted:
        assert await sender.call(address, Command("drain"), 2000) == Command("drain")
    else:
        with pytest.raises((PeerUnreachable, PeerTimeout)):
            await sender.call(address, Command("drain"), 2000)
    assert len(commands) == is_accepted
    await sender.close()
    await server.close()
    nursery.cancel_scope.cancel()
