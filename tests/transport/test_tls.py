"""Processes talk only to those that show a certificate of their authority."""

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
class Order:
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
    "client, server_ip, is_taken",
    [
        ("same authority", HOST, True),
        ("no certificate", HOST, False),
        ("other authority", HOST, False),
        ("no TLS", HOST, False),
        ("same authority", "127.0.0.9", False),
    ],
)
async def test_order_is_taken_only_with_a_certificate(
    client, server_ip, is_taken, nursery, tmp_path
):
    authority, other = trustme.CA(), trustme.CA()
    server_files = files_of(tmp_path, "server", authority, server_ip)
    client_files = files_of(tmp_path, "client", authority)
    other_files = files_of(tmp_path, "other", other)
    mixed = TlsFiles(other_files.certificate, other_files.key, client_files.authority)
    networks = {
        "same authority": lambda: network_of(client_files),
        "no certificate": lambda: without_certificate(client_files),
        "other authority": lambda: network_of(mixed),
        "no TLS": WebSocketNetwork,
    }
    server = make_peers(network_of(server_files), "server")
    orders = []

    async def record(connection, order: Order) -> Order:
        orders.append(order)
        return order

    server.register(Order, record)
    sender = make_peers(networks[client](), "sender")
    await server.start(nursery)
    await sender.start(nursery)
    address = server.identity.address
    if is_taken:
        assert await sender.call(address, Order("drain"), 2000) == Order("drain")
    else:
        with pytest.raises((PeerUnreachable, PeerTimeout)):
            await sender.call(address, Order("drain"), 2000)
    assert len(orders) == is_taken
    await sender.close()
    await server.close()
    nursery.cancel_scope.cancel()
