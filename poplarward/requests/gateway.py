"""Takes callers' requests over HTTP and answers them."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable

import trio

from ..errors import BodyTooLarge, CallerGone, Refused
from ..protocol.requests import PriorityClass
from ..state import ConfigurationView
from ..telemetry import get_logger
from ..transport import Address, HttpRequest, Responder
from .admission import Admission
from .answers import respond_error
from .attempts import AttemptLoop
from .caller import CallerError, CallerRequest

__all__ = ["Gateway"]

MAX_BODY_BYTES = 256 * 1024
DEFAULT_DEADLINE_MS = {PriorityClass.URGENT: 5_000, PriorityClass.DRAFTING: 60_000}
ADDRESS_KEEP_MS = 5_000
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")

log = get_logger("gateway")


class Gateway:
    """Answers callers at an entry host.

    Parameters
    ----------
    configuration : ConfigurationView
        What is in force.
    admission : Admission
        Limits and queues that a request passes first.
    attempts : AttemptLoop
        Runs a request at upstreams and relays the answer.
    entry_addresses : callable
        Returns the callers' addresses of the entry hosts to name, best first.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        admission: Admission,
        attempts: AttemptLoop,
        entry_addresses: Callable[[], list[Address]],
    ):
        self._configuration = configuration
        self._admission = admission
        self._attempts = attempts
        self._entry_addresses = entry_addresses
        self.n_open = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        self.n_open += 1
        try:
            await self._answer(request, responder)
        except CallerError as error:
            await respond_error(responder, error.status, str(error), 0)
        except BodyTooLarge as error:
            await respond_error(responder, 413, str(error), 0)
        except CallerGone:
            return
        finally:
            self.n_open -= 1

    async def _answer(self, request: HttpRequest, responder: Responder) -> None:
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

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        try:
            async with self._admission.slot(request):
                await self._attempts.run(request, responder)
        except Refused as error:
            await respond_error(responder, 503, str(error), error.retry_after_ms)

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
