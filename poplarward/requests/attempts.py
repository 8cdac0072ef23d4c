"""Runs a caller's request at upstreams and relays the answer."""

from __future__ import annotations

import json

import trio

from ..errors import PeerUnreachable, Refused
from ..protocol import Peers
from ..protocol.requests import End, Head, Outcome, Submit
from ..transport import Responder
from .answers import OUTCOME_HEADER, respond_error
from .caller import CallerRequest
from .relay import Piece, Relay
from .routing import AgentView, Router

__all__ = ["AttemptLoop"]

RETRY_AFTER_MS = 1_000


class AttemptLoop:
    """Attempts of requests, from the choice of an agent to the answer's end.

    Parameters
    ----------
    peers, relay, router
        The entry host's links, the attempts in progress and the choice of agents.
    """

    def __init__(self, peers: Peers, relay: Relay, router: Router):
        self._peers = peers
        self._relay = relay
        self._router = router

    async def run(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a request; raises `Refused` if it was not run."""
        agent = self._router.choose(request)
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
        self._router.add_in_flight(agent.identity.name, 1)
        try:
            await self._relay_attempt(agent, submit, responder)
        finally:
            self._router.add_in_flight(agent.identity.name, -1)

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
            await respond_error(responder, 502, error, RETRY_AFTER_MS, outcome)
