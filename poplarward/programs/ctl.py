"""Operators' command line over the published remote procedure calls.

Usage:
  poplarwardctl [options] apply FILE [--expected-version N] [--validate-only]
  poplarwardctl [options] get KIND NAME
  poplarwardctl [options] list [KIND]
  poplarwardctl [options] delete KIND NAME --expected-version N
  poplarwardctl (-h | --help)
  poplarwardctl --version

Options:
  --server URL          Operators' address of an entry host.
  --token TOKEN         The operator's credential.
  --json                Print JSON instead of a table.
  --expected-version N  Version that the change replaces [default: 0].
  --validate-only       Check the change and apply nothing.
  -h --help             Show this text.
  --version             Show the version.

Exit status:
  0  The call succeeded.
  1  The call was refused; every finding was printed.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from connectrpc.errors import ConnectError
from docopt import docopt
from google.protobuf.json_format import MessageToDict, Parse

from .. import __version__
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..protocol.generated.poplarward.v1.operations_connect import OperationsClientSync

__all__ = ["main"]


def main() -> None:
    """Make the call named on the command line."""
    arguments = docopt(__doc__, version=__version__)
    client = OperationsClientSync(arguments["--server"])
    headers = {"authorization": f"Bearer {arguments['--token']}"}
    try:
        reply = _call(client, arguments, headers)
    except ConnectError as error:
        _print_refusal(error)
        sys.exit(1)
    _print_reply(reply, as_json=arguments["--json"])


def _call(client: OperationsClientSync, arguments: Any, headers: Any) -> Any:
    if arguments["apply"]:
        text = Path(arguments["FILE"]).read_text(encoding="utf-8")
        request = pb.ApplyRequest(
            resource=Parse(text, pb.Resource()),
            expected_version=int(arguments["--expected-version"]),
            validate_only=arguments["--validate-only"],
        )
        return client.apply(request, headers=headers)
    if arguments["get"]:
        request = pb.GetRequest(kind=arguments["KIND"], name=arguments["NAME"])
        return client.get(request, headers=headers)
    if arguments["list"]:
        request = pb.ListRequest(kind=arguments["KIND"] or "")
        return client.list(request, headers=headers)
    request = pb.DeleteRequest(
        kind=arguments["KIND"],
        name=arguments["NAME"],
        expected_version=int(arguments["--expected-version"]),
    )
    return client.delete(request, headers=headers)


def _print_reply(reply: Any, *, as_json: bool) -> None:
    document = MessageToDict(reply, preserving_proto_field_name=True)
    if as_json:
        print(json.dumps(document))
        return
    for resource in document.get("resources", [document.get("resource", document)]):
        print(json.dumps(resource))


def _print_refusal(error: ConnectError) -> None:
    print(f"{error.code}: {error.message}", file=sys.stderr)
    for detail in error.details:
        refusal = pb.Refusal.FromString(detail.message_bytes)
        for finding in refusal.findings:
            print(
                f"{finding.place}: found {finding.found}, allowed: {finding.allowed}",
                file=sys.stderr,
            )


if __name__ == "__main__":
    main()
