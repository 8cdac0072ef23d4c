"""Responses assembled from messages that are late, duplicate or out of order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarward.protocol import RequestId
from poplarward.protocol.requests import End, Head, Outcome, PieceBatch, Pieces
from poplarward.requests.outcomes import OutcomeHistory
from poplarward.requests.relay import Relay
from poplarward.requests.streams import Chunk, StreamFailure

PIECES = [b"piece %d;" % number for number in range(8)]


class FakePeers:
    def __init__(self, identity):
        self.identity = identity
        self.handlers = {}
        self.on_lost = []

    def register(self, kind, handler):
        self.handlers[kind] = handler


class FakeConnection:
    async def notify(self, message):
        pass


def run_now(coroutine):
    """Run a coroutine that must not wait."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("it waited")


def drain(stream):
    """Return the events that have arrived."""
    events = []
    while (event := stream._take()) is not None:
        events.append(event)
        if isinstance(event, End | StreamFailure):
            break
    return events


@st.composite
def deliveries(draw):
    """Messages of one response, shuffled, duplicated and mixed with foreign ones."""
    first = draw(st.integers(0, 3))
    messages = [("head", 1, 1), ("end", 1, 1)]
    position = first
    while position < len(PIECES):
        n = draw(st.integers(1, 3))
        messages.append(("pieces", 1, 1, position, PIECES[position : position + n]))
        position += n
    foreign = [
        ("head", 1, 2),
        ("head", 2, 1),
        ("pieces", 1, 2, first, [b"wrong"]),
        ("end", 2, 1),
    ]
    foreign += [("pieces", 2, 1, first, [b"wrong"]), ("pieces", 1, 3, 0, [b"wrong"])]
    extra = draw(st.lists(st.sampled_from([*messages, *foreign]), max_size=6))
    order = sorted(messages, key=lambda m: (m[0] != "head", m[0] == "end"))
    if draw(st.booleans()):
        order[1:] = draw(st.permutations(order[1:]))
    for message in extra:
        order.insert(draw(st.integers(0, len(order))), message)
    return first, order


@given(deliveries())
def test_response_is_complete_or_failed(case):
    from poplarward.protocol import ProcessIdentity
    from poplarward.requests.relay import Submit
    from poplarward.transport import Address

    first, order = case
    identity = ProcessIdentity("entry", "entry-1", 1, Address("10.0.0.1", 1), "rennes")
    relay = Relay(FakePeers(identity))
    handlers = relay._peers.handlers
    own, other = FakeConnection(), FakeConnection()
    request_id = relay.new_request_id()
    submit = Submit(request_id, "w", "urgent", "POST", "/", [], b"", 1, True, "", first)
    stream = run_now(relay.submit(own, submit))
    events = []
    for kind, connection_number, start_id, *rest in order:
        connection = own if connection_number == 1 else other
        message_id = RequestId("entry-1", start_id, request_id.sequence)
        match kind:
            case "head":
                status = 200 if connection_number == start_id == 1 else 500
                message = Head(message_id, status, [])
            case "end":
                message = End(message_id, Outcome.RAN, len(PIECES))
            case _:
                batch = PieceBatch(request_id.sequence, rest[0], rest[1])
                message = Pieces(start_id, [batch])
        run_now(handlers[type(message)](connection, message))
        if not any(isinstance(event, End | StreamFailure) for event in events):
            events += drain(stream)
    received = b"".join(event.data for event in events if isinstance(event, Chunk))
    complete = b"".join(PIECES[first:])
    assert complete.startswith(received)
    heads = [event.status for event in events if isinstance(event, Head)]
    assert heads in ([], [200])
    if isinstance(events[-1], End):
        assert received == complete


def test_response_in_order_is_complete():
    identity = type("I", (), {"name": "entry-1", "start_id": 1})()
    relay = Relay(FakePeers(identity))
    connection = FakeConnection()
    request_id = relay.new_request_id()
    submit = type("S", (), {"request_id": request_id, "n_pieces_received": 0})()
    stream = run_now(relay.submit(connection, submit))
    stream.put_head(Head(request_id, 200, []))
    stream.put_pieces(0, PIECES[:3])
    stream.put_pieces(1, PIECES[1:])
    stream.put_end(End(request_id, Outcome.RAN, len(PIECES)))
    head, chunk, end = drain(stream)
    assert chunk == Chunk(b"".join(PIECES), len(PIECES), PIECES[-1])
    assert isinstance(head, Head)
    assert isinstance(end, End)


@given(
    st.lists(st.tuples(st.sampled_from(["run", "bar"]), st.integers(0, 9)), max_size=60)
)
def test_outcome_history_never_contradicts_itself(steps):
    """A history of three outcomes stays consistent for ten attempts."""
    history = OutcomeHistory(3)
    ran, barred = set(), set()
    for step, sequence in steps:
        request_id = RequestId("entry-1", 1, sequence)
        if step == "run" and history.may_start(request_id):
            assert sequence not in ran | barred
            ran.add(sequence)
            history.put(request_id, Outcome.RAN)
        elif step == "bar" and history.bar(request_id) is Outcome.NOT_RUN:
            assert sequence not in ran
            barred.add(sequence)
