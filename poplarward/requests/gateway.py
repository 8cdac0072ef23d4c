"""Receives callers' requests over HTTP and sends the responses."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..errors import BodyTooLarge, BufferFull, CallerDisconnected, Refused
from ..protocol.requests import Outcome
from ..telemetry import RequestMetrics, RequestTimer
from ..transport import HttpRequest, Responder
from .admission import Admission
from .attempts import AttemptLoop
from .caller import CallerError, CallerRequest
from .configuration_index import ConfigurationIndex
from .request_parsing import parse_caller_request, parse_key_request
from .responses import OUTCOME_HEADER, respond_error

__all__ = ["Gateway"]

ADDRESS_KEEP_MS = 5_000
BODY_RETRY_AFTER_MS = 1_000.0  # For requests that find no memory.


class Gateway:
    """Serves the HTTP requests of callers at an entry host.

    Parameters
    ----------
    index : ConfigurationIndex
        Looks up the workspaces, models and services of requests.
    admission : Admission
        Admission control, which a request passes first.
    attempts : AttemptLoop
        Runs a request at upstreams and relays the response.
    entry_addresses : callable
        Returns the entry hosts' addresses for a caller's IP number, preferred ones
        first.
    metrics : RequestMetrics, optional
        Metrics of the requests as callers see them.
    address_keep_ms : float
        How long callers may use the addresses that they received.
    """

    def __init__(
        self,
        index: ConfigurationIndex,
        admission: Admission,
        attempts: AttemptLoop,
        entry_addresses: Callable[[str], list[str]],
        metrics: RequestMetrics | None = None,
        address_keep_ms: float = ADDRESS_KEEP_MS,
    ):
        self._index = index
        self._admission = admission
        self._attempts = attempts
        self._entry_addresses = entry_addresses
        self._metrics = metrics or RequestMetrics()
        self._address_keep_ms = address_keep_ms
        self.n_open = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Serve one HTTP request."""
        self.n_open += 1
        try:
            await self._dispatch(request, responder)
        except CallerError as error:
            await respond_error(responder, error.status, str(error), 0)
        except BodyTooLarge as error:
            await respond_error(responder, 413, str(error), 0)
        except BufferFull as error:
            await respond_error(responder, 503, str(error), BODY_RETRY_AFTER_MS)
        except CallerDisconnected:
            return
        finally:
            self.n_open -= 1

    async def _dispatch(self, request: HttpRequest, responder: Responder) -> None:
        if (request.method, request.path) == ("GET", "/v1/addresses"):
            addresses = self._entry_addresses(request.caller_host)
            document = {"addresses": addresses, "keep_ms": self._address_keep_ms}
            await responder.respond_json(200, document)
            return
        if (request.method, request.path) == ("POST", "/v1/keys"):
            await self._issue_key(request, responder)
            return
        caller_request = await parse_caller_request(request, self._index)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request.cancel_on_disconnect, nursery.cancel_scope)
            await self._run(caller_request, responder)
            nursery.cancel_scope.cancel()

    async def _issue_key(self, request: HttpRequest, responder: Responder) -> None:
        self._index.workspace(request.headers.get("authorization", ""))
        service = await parse_key_request(request)
        try:
            key = await self._attempts.keys.issue(service)
        except Refused as error:
            await respond_error(responder, 503, str(error), error.retry_after_ms)
            return
        await responder.respond_json(201, {"idempotency_key": key})

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        labels = (request.workspace, request.priority_class.value)
        timer = self._metrics.timer(*labels)
        metered = _MeteredResponder(responder, timer)
        try:
            async with self._admission.admit(request):
                timer.admitted()
                await self._attempts.run(request, metered)
        except Refused as error:
            await respond_error(metered, 503, str(error), error.retry_after_ms)
        finally:
            timer.ended()
            self._metrics.count_outcome(*labels, metered.outcome)


class _MeteredResponder(Responder):
    """Forwards a response and records the times of its pieces and its outcome."""

    def __init__(self, responder: Responder, timer: RequestTimer):
        super().__init__(responder.send)
        self.outcome = Outcome.UNKNOWN.value
        self._timer = timer

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.outcome = dict(headers).get(OUTCOME_HEADER, self.outcome)
        await super().start(status, headers)

    async def write(self, data: bytes) -> None:
        await super().write(data)
        self._timer.piece()
