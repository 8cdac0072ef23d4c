"""Takes callers' requests over HTTP and answers them."""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from ..errors import (
    BodyTooLarge,
    CallerGone,
    PeerUnreachable,
    PoplarwardError,
    Refused,
)
from ..protocol import Peers
from ..protocol.requests import End, Head, Outcome, PriorityClass, Submit
from ..state import ConfigurationView
from ..telemetry import get_logger
from ..transport import Address, HttpRequest, Responder
from .relay import Piece, Relay
from .routing import AgentTable, AgentView, choose_agent

__all__ = ["Gateway"]

MAX_BODY_BYTES = 256 * 1024
DEFAULT_DEADLINE_MS = {PriorityClass.URGENT: 5_000, PriorityClass.DRAFTING: 60_000}
ADDRESS_KEEP_MS = 5_000
RETRY_AFTER_MS = 1_000
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
OUTCOME_HEADER = "poplarward-outcome"

log = get_logger("gateway")


class CallerError(PoplarwardError):
    """A request that can't be served as it is; carries its HTTP status."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class CallerRequest(NamedTuple):
    """A caller's request, checked and given its target and class."""

    workspace: str
    upstream: str
    priority_class: PriorityClass
    deadline_ms: int
    repeatable: bool
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotency_key: str


class Gateway:
    """Answers callers at an entry host.

    Parameters
    ----------
    peers, relay, agents, configuration
        The entry host's links, attempts, agents and configuration in force.
    entry_addresses : callable
        Returns the callers' addresses of the entry hosts to name, best first.
    """

    def __init__(
        self,
        peers: Peers,
        relay: Relay,
        agents: AgentTable,
        configuration: ConfigurationView,
        entry_addresses: Callable[[], list[Address]],
        seed: int = 0,
    ):
        self._peers = peers
        self._relay = relay
        self._agents = agents
        self._configuration = configuration
        self._entry_addresses = entry_addresses
        self._rng = random.Random(seed)
        self.n_open = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        self.n_open += 1
        try:
            await self._dispatch(request, responder)
        except CallerError as error:
            await _respond_error(responder, error.status, str(error), 0)
        except BodyTooLarge as error:
            await _respond_error(responder, 413, str(error), 0)
        except Refused as error:
            await _respond_error(responder, 503, str(error), error.retry_after_ms)
        except CallerGone:
            return
        finally:
            self.n_open -= 1

    async def _dispatch(self, request: HttpRequest, responder: Responder) -> None:
        if (request.method, request.path) == ("GET", "/v1/addresses"):
            addresses = [str(address) for address in self._entry_addresses()]
            document = {"addresses": addresses, "keep_ms": ADDRESS_KEEP_MS}
            await responder.respond_json(200, document)
            return
        workspace = self._authenticate(request)
        caller_request = await self._read(request, workspace)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request.cancel_on_disconnect, nursery.cancel_scope)
            await self._run(caller_request, responder)
            nursery.cancel_scope.cancel()

    def _authenticate(self, request: HttpRequest) -> str:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        if scheme.lower() == "bearer":
            for name, spec in self._configuration.specs("workspaces"):
                if digest in spec["token_sha256"]:
                    return name
        raise CallerError(401, "no workspace has this credential")

    async def _read(self, request: HttpRequest, workspace: str) -> CallerRequest:
        body = await request.body(MAX_BODY_BYTES)
        if (request.method, request.path) == ("POST", "/v1/completions"):
            upstream, path = self._model_group(body), request.path
            repeatable, default_class = True, PriorityClass.DRAFTING
        elif request.path.startswith("/v1/services/"):
            upstream, _, rest = request.path.removeprefix("/v1/services/").partition(
                "/"
            )
            path = "/" + rest
            repeatable = self._is_repeatable(upstream, request.method, path)
            default_class = PriorityClass.URGENT
        else:
            raise CallerError(404, f"no such path: {request.path}")
        service = self._configuration.get(
            "services", request.headers.get("poplarward-service", "")
        )
        priority_class = PriorityClass(
            service["priority_class"] if service else default_class
        )
        return CallerRequest(
            workspace=workspace,
            upstream=upstream,
            priority_class=priority_class,
            deadline_ms=(
                service["deadline_ms"]
                if service
                else DEFAULT_DEADLINE_MS[priority_class]
            ),
            repeatable=repeatable,
            method=request.method,
            path=path,
            headers=[
                (name, request.headers[name])
                for name in FORWARDED_HEADERS
                if name in request.headers
            ],
            body=body,
            idempotency_key=request.headers.get("idempotency-key", ""),
        )

    def _model_group(self, body: bytes) -> str:
        try:
            model = json.loads(body)["model"]
        except (ValueError, TypeError, KeyError):
            raise CallerError(400, "the body is JSON with a model") from None
        for name, spec in self._configuration.specs("modelgroups"):
            if spec["model"] == model:
                return name
        raise CallerError(404, f"no model group serves {model!r}")

    def _is_repeatable(self, name: str, method: str, path: str) -> bool:
        spec = self._configuration.get("plainservices", name)
        if spec is None:
            raise CallerError(404, f"no plain service {name!r}")
        for call in spec["calls"]:
            if call["method"] == method and path.startswith(call["path_prefix"]):
                return call["repeatable"]
        return False

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        agent = choose_agent(self._agents.views(request.upstream), self._rng)
        if agent is None:
            raise Refused(f"no upstream of {request.upstream} is live", RETRY_AFTER_MS)
        submit = Submit(
            request_id=self._relay.new_request_id(),
            workspace=request.workspace,
            priority_class=request.priority_class,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=request.deadline_ms,
            repeatable=request.repeatable,
            idempotency_key=request.idempotency_key,
        )
        self._agents.add_in_flight(agent.identity.name, 1)
        try:
            await self._relay_attempt(agent, submit, responder)
        finally:
            self._agents.add_in_flight(agent.identity.name, -1)

    async def _relay_attempt(
        self, agent: AgentView, submit: Submit, responder: Responder
    ) -> None:
        try:
            connection = await self._peers.connection(agent.address)
            stream = await self._relay.submit(connection, submit)
        except PeerUnreachable as error:
            raise Refused(f"agent: {error}", RETRY_AFTER_MS) from error
        try:
            async for event in stream.events():
                await _send_event(responder, event)
        except trio.Cancelled:
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await self._relay.cancel(stream)
            raise
        finally:
            self._relay.forget(stream)


async def _send_event(responder: Responder, event: Head | Piece | End) -> None:
    match event:
        case Head(status=status, headers=headers):
            kept = [pair for pair in headers if pair[0] == "content-type"]
            await responder.start(status, [*kept, (OUTCOME_HEADER, Outcome.RAN)])
        case Piece(data=data):
            await responder.write(data)
        case End(error=""):
            await responder.finish()
        case End(outcome=outcome, error=error) if responder.started:
            document = {"error": error, "outcome": outcome}
            line = f"event: error\ndata: {json.dumps(document)}\n\n"
            await responder.finish(line.encode())
        case End(outcome=outcome, error=error):
            await _respond_error(responder, 502, error, RETRY_AFTER_MS, outcome)


async def _respond_error(
    responder: Responder,
    status: int,
    reason: str,
    retry_after_ms: float,
    outcome: Outcome = Outcome.NOT_RUN,
) -> None:
    document = {"error": reason, "outcome": outcome, "retry_after_ms": retry_after_ms}
    headers = [(OUTCOME_HEADER, str(outcome))]
    if retry_after_ms:
        seconds = max(1, round(retry_after_ms / 1000))
        headers.append(("retry-after", str(seconds)))
    await responder.respond_json(status, document, headers)
