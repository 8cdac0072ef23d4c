"""Connections between peers: calls, refusals, faults and invalid input."""

from __future__ import annotations

import contextlib

import cbor2
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarward.errors import (
    CallRefused,
    ChannelClosed,
    DecodeError,
    PeerTimeout,
    PeerUnreachable,
)
from poplarward.protocol import (
    Peers,
    ProcessIdentity,
    codec,
    configuration,
    decode,
    message,
    reports,
    requests,
)
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


async def test_cut_link_fails_calls_until_it_is_restored(nursery, autojump_clock):
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

    with pytest.raises(DecodeError):
        decode(cbor2.dumps([123_456]))
    with pytest.raises(DecodeError):
        decode(cbor2.dumps([9_001, 5]))
    with pytest.raises(DecodeError):
        decode(b"\xff\x00")


_cbor_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.binary(max_size=64))
def test_any_bytes_decode_or_are_refused(data):
    with contextlib.suppress(DecodeError):
        decode(data)


TAGS = [1, 9_001] + sorted(
    tag
    for tag, declared in codec._classes.items()
    if declared.__module__
    in (configuration.__name__, reports.__name__, requests.__name__)
)


@settings(max_examples=200)
@given(st.sampled_from(TAGS), st.lists(_cbor_values, max_size=12))
def test_any_fields_decode_or_are_refused(tag, values):
    with contextlib.suppress(DecodeError):
        decode(cbor2.dumps([tag, *values]))


async def test_invalid_frame_closes_only_its_connection(nursery):
    server = make_peers(WebSocketNetwork(), "b")
    server.register(Question, answer)
    client = make_peers(WebSocketNetwork(), "a")
    await server.start(nursery)
    await client.start(nursery)
    target = server.identity.address
    async with WebSocketNetwork().connect(target) as channel:
        await channel.receive()
        await channel.send(b"\xff\xff")
        with pytest.raises(ChannelClosed):
            await channel.receive()
    assert await client.call(target, Question("who"), 1000) == Answer("WHO")
    await client.close()
    await server.close()
    nursery.cancel_scope.cancel()


async def start_pair(network, nursery):
    server = make_peers(network.host("10.0.0.2"), "b", "10.0.0.2")
    client = make_peers(network.host("10.0.0.1"), "a", "10.0.0.1")
    server.register(Question, answer)
    await server.start(nursery)
    await client.start(nursery)
    return server, client


async def test_handler_error_closes_only_its_connection(nursery, autojump_clock):
    network = MemoryNetwork()
    server, client = await start_pair(network, nursery)

    async def fail(connection, message):
        raise ZeroDivisionError

    server.register(Answer, fail)
    with pytest.raises(PeerUnreachable):
        await client.call(server.identity.address, Answer("x"), 1000)
    await trio.sleep(1)
    reply = await client.call(server.identity.address, Question("x"), 1000)
    assert reply == Answer("X")
    nursery.cancel_scope.cancel()


async def test_disconnect_fails_calls_to_an_unresponsive_process(
    nursery, autojump_clock
):
    network = MemoryNetwork()
    server, client = await start_pair(network, nursery)
    lost = []
    client.on_lost.append(lambda connection: lost.append(connection.identity.name))
    failed_at = []

    async def call_slowly():
        with pytest.raises(PeerUnreachable):
            await client.call(server.identity.address, Question("slow"), 60_000)
        failed_at.append(trio.current_time())

    async with trio.open_nursery() as calls:
        calls.start_soon(call_slowly)
        await trio.sleep(1)
        disconnected_at = trio.current_time()
        await client.disconnect("b")
        await trio.sleep(1)
    assert failed_at[0] - disconnected_at < 1
    assert lost == ["b"]
    nursery.cancel_scope.cancel()
