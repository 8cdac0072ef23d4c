from __future__ import annotations

import pytest
import trio

from poplarward.errors import DecodeError, PeerTimeout, PeerUnreachable
from poplarward.protocol import Peers, ProcessIdentity, decode, message
from poplarward.protocol.peers import CallRefused
from poplarward.transport import Address, LinkFaults, MemoryNetwork, WebSocketNetwork


@message(9_001)
class Question:
    text: str


@message(9_002)
class Answer:
    text: str


def make_peers(network, name: str, host: str = "127.0.0.1", secret: str = "s") -> Peers:
    identity = ProcessIdentity("entry", name, 1, Address(host, 0), "rennes")
    return Peers(network, identity, secret)


async def answer(connection, question: Question) -> Answer:
    if question.text == "refuse":
        raise PeerUnreachable("no")
    if question.text == "slow":
        await trio.sleep(30)
    return Answer(question.text.upper())


@pytest.mark.parametrize("kind", ["memory", "websocket"])
async def test_call_returns_reply_and_refusal(kind, nursery):
    memory = MemoryNetwork()

    def view(host):
        return memory.host(host) if kind == "memory" else WebSocketNetwork()

    server = make_peers(view("127.0.0.1"), "b")
    server.register(Question, answer)
    client = make_peers(view("127.0.0.1"), "a")
    await server.start(nursery)
    await client.start(nursery)
    target = server.identity.address
    assert await client.call(target, Question("who"), 1000) == Answer("WHO")
    with pytest.raises(CallRefused):
        await client.call(target, Question("refuse"), 1000)
    with pytest.raises(PeerTimeout):
        await client.call(target, Question("slow"), 50)
    await client.close()
    await server.close()
    nursery.cancel_scope.cancel()


async def test_cut_link_fails_the_call_and_heals(nursery, autojump_clock):
    cut: set[str] = set()
    faults = LinkFaults(is_cut=lambda a, b: bool(cut & {a, b}))
    network = MemoryNetwork(faults)
    server = make_peers(network.host("10.0.0.2"), "b", "10.0.0.2")
    server.register(Question, answer)
    client = make_peers(network.host("10.0.0.1"), "a", "10.0.0.1")
    await server.start(nursery)
    await client.start(nursery)
    target = server.identity.address
    assert await client.call(target, Question("x"), 1000) == Answer("X")
    cut.add("10.0.0.2")
    with pytest.raises((PeerUnreachable, PeerTimeout)):
        await client.call(target, Question("x"), 1000)
    cut.clear()
    await trio.sleep(1)
    assert await client.call(target, Question("y"), 1000) == Answer("Y")
    nursery.cancel_scope.cancel()


async def test_wrong_secret_is_refused(nursery, autojump_clock):
    network = MemoryNetwork()
    server = make_peers(network.host("10.0.0.2"), "b", "10.0.0.2", secret="other")
    client = make_peers(network.host("10.0.0.1"), "a", "10.0.0.1")
    await server.start(nursery)
    await client.start(nursery)
    with pytest.raises(PeerUnreachable):
        await client.call(server.identity.address, Question("x"), 1000)
    nursery.cancel_scope.cancel()


def test_decode_refuses_unknown_tag_and_wrong_fields():
    import cbor2

    with pytest.raises(DecodeError):
        decode(cbor2.dumps([123_456]))
    with pytest.raises(DecodeError):
        decode(cbor2.dumps([9_001, 5]))
    with pytest.raises(DecodeError):
        decode(b"\xff\x00")
