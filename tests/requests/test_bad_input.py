"""Invalid requests of callers: each gets a clear error and has no other effect."""

from __future__ import annotations

import hashlib
import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from poplarward.protocol.requests import Outcome
from poplarward.requests import Admission, Gateway
from poplarward.requests.caller import CallerError
from poplarward.requests.configuration_index import ConfigurationIndex
from poplarward.requests.request_parsing import _parse_completion
from poplarward.state import ConfigurationView, Resource
from poplarward.transport import Address, HttpClient, asgi_application, serve_http

DIGEST = hashlib.sha256(b"caller").hexdigest()
SPECS = {
    ("workspaces", "ateliers"): {"token_sha256": [DIGEST], "services": []},
    ("modelgroups", "drafts"): {"model": "portrait"},
    ("plainservices", "ledger"): {
        "calls": [{"method": "GET", "path_prefix": "/bookings", "repeatable": True}]
    },
}
CREDENTIAL = ("authorization", "Bearer caller")


def make_view() -> ConfigurationView:
    view = ConfigurationView()
    for version, ((kind, name), spec) in enumerate(SPECS.items(), start=1):
        view.apply(Resource(kind, name, version, spec))
    return view


class EchoAttempts:
    """Responds to every admitted request with its target."""

    async def run(self, request, responder) -> None:
        headers = [("poplarward-outcome", Outcome.RAN.value)]
        document = {"path": request.path, "repeatable": request.repeatable}
        await responder.respond_json(200, document, headers)


@pytest.fixture
async def address(nursery):
    gateway = Gateway(
        ConfigurationIndex(make_view()), Admission(), EchoAttempts(), list
    )
    application = asgi_application(gateway.handle)
    bound = await nursery.start(serve_http, application, Address("127.0.0.1", 0))
    yield bound
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status"),
    [
        ("GET", "/v1/services/ledger/bookings/1", [], b"", 401),
        ("GET", "/v1/services/ledger/bookings/1", [("authorization", "x")], b"", 401),
        ("GET", "/nothing", [CREDENTIAL], b"", 404),
        ("GET", "/v1/services/other/x", [CREDENTIAL], b"", 404),
        ("GET", "/v1/services/ledger/bookings/../deposits", [CREDENTIAL], b"", 400),
        ("GET", "/v1/services/ledger/bookings/%2e%2e/deposits", [CREDENTIAL], b"", 400),
        ("GET", "/v1/services/ledger//bookings/1", [CREDENTIAL], b"", 400),
        ("POST", "/v1/completions", [CREDENTIAL], b"{", 400),
        ("POST", "/v1/completions", [CREDENTIAL], b"[" * 50_000, 400),
        ("POST", "/v1/completions", [CREDENTIAL], b'{"model": 5, "prompt": "x"}', 400),
        (
            "POST",
            "/v1/completions",
            [CREDENTIAL],
            b'{"model": "x", "prompt": "x"}',
            404,
        ),
        ("POST", "/v1/completions", [CREDENTIAL], b" " * 300_000, 413),
        (
            "POST",
            "/v1/services/ledger/deposits",
            [CREDENTIAL, ("idempotency-key", "k" * 201)],
            b"",
            400,
        ),
        (
            "GET",
            "/v1/services/ledger/bookings/1",
            [CREDENTIAL, ("poplarward-service", "nobody")],
            b"",
            404,
        ),
    ],
)
async def test_refusal_has_status_and_outcome(
    address, method, path, headers, body, status
):
    client = HttpClient(f"http://{address}")
    response = await client.call(method, path, headers, body)
    await client.close()
    assert response.status == status
    assert dict(response.headers)["poplarward-outcome"] == "not-run"
    assert json.loads(response.body)["error"]


async def test_query_is_forwarded_and_only_listed_calls_are_repeatable(address):
    client = HttpClient(f"http://{address}")
    reply = await client.call(
        "GET", "/v1/services/ledger/bookings/1?day=2", [CREDENTIAL]
    )
    assert json.loads(reply.body) == {"path": "/bookings/1?day=2", "repeatable": True}
    reply = await client.call("GET", "/v1/services/ledger/bookings-all", [CREDENTIAL])
    assert json.loads(reply.body)["repeatable"] is False
    await client.close()


async def test_too_long_header_is_refused_and_others_are_served(address):
    slow = await trio.open_tcp_stream(address.host, address.port)
    await slow.send_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
    long = await trio.open_tcp_stream(address.host, address.port)
    await long.send_all(b"GET / HTTP/1.1\r\nx: " + b"y" * 20_000)
    assert (await long.receive_some()).startswith(b"HTTP/1.1 4")
    client = HttpClient(f"http://{address}")
    reply = await client.call("GET", "/v1/services/ledger/bookings/1", [CREDENTIAL])
    assert reply.status == 200
    await client.close()
    await slow.aclose()
    await long.aclose()


async def test_body_that_never_arrives_is_refused(monkeypatch, address):
    monkeypatch.setattr("poplarward.requests.request_parsing.BODY_TIMEOUT_S", 0.05)
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
        b"authorization: Bearer caller\r\ncontent-length: 9\r\n\r\n{"
    )
    assert b" 408 " in await stream.receive_some()
    await stream.aclose()


@given(st.binary(max_size=200))
def test_any_body_is_parsed_or_refused(body):
    try:
        document = _parse_completion(body)
    except CallerError as error:
        assert error.status == 400
    else:
        assert isinstance(document["model"], str)


def test_directory_follows_the_configuration():
    view = make_view()
    directory = ConfigurationIndex(view)
    assert directory.workspace("Bearer caller") == "ateliers"
    view.apply(Resource("workspaces", "ateliers", 9, None))
    with pytest.raises(CallerError):
        directory.workspace("Bearer caller")
