"""Operators' command line over the published remote procedure calls.

Usage:
  poplarwardctl [options] apply FILE
  poplarwardctl [options] get KIND NAME
  poplarwardctl [options] list [KIND]
  poplarwardctl [options] delete KIND NAME
  poplarwardctl [options] history KIND NAME
  poplarwardctl [options] diff KIND NAME BEFORE AFTER
  poplarwardctl [options] watch [REVISION]
  poplarwardctl [options] rollout REVISION
  poplarwardctl [options] status
  poplarwardctl [options] drain HOST
  poplarwardctl [options] undrain HOST
  poplarwardctl [options] freeze GROUP
  poplarwardctl [options] unfreeze GROUP
  poplarwardctl [options] rebalance GROUP
  poplarwardctl (-h | --help)
  poplarwardctl --version

Options:
  --server URL          Operators' address of an entry host; without it, the
                        environment's POPLARWARD_SERVER.
  --token TOKEN         The operator's credential; without it, the environment's
                        POPLARWARD_TOKEN.
  --authority FILE      Certificates, as PEM, that an https server must be signed by;
                        without it, the environment's POPLARWARD_AUTHORITY.
  --json                Print JSON, one document a reply, instead of tables.
  --expected-version N  Version that the change replaces [default: 0].
  --validate-only       Check the change and apply nothing.
  --wait                Wait until every live process has the change in force.
  --timeout-s S         How long to wait at most [default: 30].
  -h --help             Show this text.
  --version             Show the version.

Exit status:
  0  The call succeeded.
  1  The call was refused; every finding was printed.
  2  The command line or a file can't be read.
  3  No entry host answered, or the outcome is not known.
  4  The change was accepted, but is not in force everywhere in time.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from docopt import DocoptExit, docopt
from google.protobuf.json_format import Parse, ParseError
from pyqwest import SyncClient, SyncHTTPTransport

from .. import __version__
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..protocol.generated.poplarward.v1.operations_connect import OperationsClientSync
from .tables import difference_rows, document_of, rows_of, table

__all__ = ["main", "run"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_NOT_IN_FORCE = 4
ROLLOUT_POLL_S = 0.25
CALL_TIMEOUT_MS = 15_000
UNKNOWN_CODES = frozenset({Code.UNAVAILABLE, Code.DEADLINE_EXCEEDED, Code.INTERNAL})


class _UsageError(Exception):
    """The command line or a file can't be used; the text says why."""


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(argv: Sequence[str]) -> int:
    """Run one command; returns the exit status."""
    try:
        arguments = docopt(__doc__, argv=list(argv), version=__version__)
        calls = _CommandCalls(arguments)
        for reply in calls.replies():
            _print_reply(reply, as_json=arguments["--json"])
        return calls.wait() if arguments["--wait"] else 0
    except DocoptExit as error:
        print(error.code, file=sys.stderr)
        return EXIT_USAGE
    except _UsageError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except ConnectError as error:
        _print_refusal(error)
        return EXIT_UNKNOWN if error.code in UNKNOWN_CODES else EXIT_REFUSED


class _CommandCalls:
    """The calls of one command."""

    def __init__(self, arguments: dict[str, Any]):
        self._arguments = arguments
        self._revision = 0
        server = arguments["--server"] or os.environ.get("POPLARWARD_SERVER")
        token = arguments["--token"] or os.environ.get("POPLARWARD_TOKEN")
        if not server or not token:
            raise _UsageError("--server and --token, or POPLARWARD_SERVER and _TOKEN")
        self._headers = {"authorization": f"Bearer {token}"}
        authority = arguments["--authority"] or os.environ.get("POPLARWARD_AUTHORITY")
        self._client = OperationsClientSync(server, http_client=_client(authority))

    def replies(self) -> Iterator[Any]:
        """Yield the replies; more than one only for a watch."""
        request = _request(self._arguments)
        if isinstance(request, pb.WatchRequest):
            yield from self._client.watch(request, headers=self._headers)
            return
        reply = self._call(request)
        self._revision = _revision_of(request, reply)
        yield reply

    def wait(self) -> int:
        """Wait until the change is applied everywhere; returns the exit status."""
        ends_at_s = time.monotonic() + _number(self._arguments, "--timeout-s")
        while True:
            rollout = self._call(pb.GetRolloutRequest(revision=self._revision))
            if rollout.n_live and rollout.n_in_force == rollout.n_live:
                print(f"in force in all {rollout.n_live} processes", file=sys.stderr)
                return 0
            if time.monotonic() >= ends_at_s:
                behind = ", ".join(rollout.behind)
                print(f"not in force in time: {behind}", file=sys.stderr)
                return EXIT_NOT_IN_FORCE
            time.sleep(ROLLOUT_POLL_S)

    def _call(self, request: Any) -> Any:
        method = _METHODS[type(request)]
        call = getattr(self._client, method)
        return call(request, headers=self._headers, timeout_ms=CALL_TIMEOUT_MS)


def _client(authority: str | None) -> SyncClient | None:
    if not authority:
        return None
    certificates = _read_file(authority).encode()
    return SyncClient(SyncHTTPTransport(tls_ca_cert=certificates))


_METHODS = {
    pb.ApplyRequest: "apply",
    pb.DeleteRequest: "delete",
    pb.DiffRequest: "diff",
    pb.DrainHostRequest: "drain_host",
    pb.ForceRebalanceRequest: "force_rebalance",
    pb.FreezeRebalancingRequest: "freeze_rebalancing",
    pb.GetRequest: "get",
    pb.GetRolloutRequest: "get_rollout",
    pb.GetStatusRequest: "get_status",
    pb.HistoryRequest: "history",
    pb.ListRequest: "list",
}


def _request(arguments: dict[str, Any]) -> Any:
    """Return the request message of a command line."""
    kind, name = arguments["KIND"] or "", arguments["NAME"] or ""
    command = next(c for c in _COMMANDS if arguments[c])
    match command:
        case "apply":
            return pb.ApplyRequest(
                resource=_read_resource(arguments["FILE"]),
                expected_version=_number(arguments, "--expected-version"),
                validate_only=arguments["--validate-only"],
            )
        case "get":
            return pb.GetRequest(kind=kind, name=name)
        case "list":
            return pb.ListRequest(kind=kind)
        case "delete":
            expected = _number(arguments, "--expected-version")
            return pb.DeleteRequest(kind=kind, name=name, expected_version=expected)
        case "history":
            return pb.HistoryRequest(kind=kind, name=name)
        case "diff":
            return pb.DiffRequest(
                kind=kind,
                name=name,
                before_version=_number(arguments, "BEFORE"),
                after_version=_number(arguments, "AFTER"),
            )
        case "watch":
            after = _number(arguments, "REVISION") if arguments["REVISION"] else 0
            return pb.WatchRequest(after_revision=after)
        case "rollout":
            return pb.GetRolloutRequest(revision=_number(arguments, "REVISION"))
        case "status":
            return pb.GetStatusRequest()
        case "drain" | "undrain":
            drain = command == "drain"
            return pb.DrainHostRequest(host=arguments["HOST"], drain=drain)
        case "freeze" | "unfreeze":
            frozen = command == "freeze"
            return pb.FreezeRebalancingRequest(group=arguments["GROUP"], frozen=frozen)
    return pb.ForceRebalanceRequest(group=arguments["GROUP"])


_COMMANDS = (
    "apply",
    "get",
    "list",
    "delete",
    "history",
    "diff",
    "watch",
    "rollout",
    "status",
    "drain",
    "undrain",
    "freeze",
    "unfreeze",
    "rebalance",
)


def _read_resource(path: str) -> pb.Resource:
    try:
        return Parse(_read_file(path), pb.Resource())
    except ParseError as error:
        raise _UsageError(f"{path}: {error}") from None


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise _UsageError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise _UsageError(f"{path}: {error}") from None


def _number(arguments: dict[str, Any], name: str) -> int:
    try:
        return int(arguments[name])
    except ValueError:
        found = arguments[name]
        raise _UsageError(f"{name}: found {found!r}, allowed: a number") from None


def _revision_of(request: Any, reply: Any) -> int:
    """Return the revision that ``--wait`` waits to see applied."""
    match request:
        case pb.ApplyRequest():
            return reply.resource.version
        case pb.GetRolloutRequest():
            return request.revision
    return getattr(reply, "revision", 0)


def _print_reply(reply: Any, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(document_of(reply), sort_keys=True))
    else:
        print("\n\n".join(table(rows) for rows in rows_of(reply)))
    sys.stdout.flush()


def _print_refusal(error: ConnectError) -> None:
    print(f"{error.code.value}: {error.message}", file=sys.stderr)
    for detail in error.details:
        refusal = pb.Refusal.FromString(detail.message_bytes)
        for finding in refusal.findings:
            print(
                f"  {finding.place}: found {finding.found}, allowed: {finding.allowed}",
                file=sys.stderr,
            )
        if refusal.differences:
            print(table(difference_rows(refusal.differences)), file=sys.stderr)


if __name__ == "__main__":
    main()
