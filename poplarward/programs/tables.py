"""Formats replies to the operators' calls as aligned tables."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict

from ..protocol.generated.poplarward.v1 import operations_pb2 as pb

__all__ = ["document_of", "rows_of", "table"]


def table(rows: Sequence[Sequence[str]]) -> str:
    """Return rows with aligned columns.

    Examples
    --------
    >>> print(table([("NAME", "N"), ("ateliers", "7")]))
    NAME      N
    ateliers  7
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(line.rstrip() for line in lines)


def document_of(message: Any) -> dict[str, Any]:
    """Return a message as a JSON document, fields with default values included."""
    return MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def rows_of(reply: Any) -> list[list[tuple[str, ...]]]:
    """Return the tables that show a reply, each with its header row."""
    match reply:
        case pb.ListResponse():
            return [_resource_rows(reply.resources)]
        case pb.HistoryResponse():
            return [_resource_rows(reply.versions)]
        case pb.ApplyResponse() | pb.GetResponse() | pb.WatchResponse():
            return [_resource_rows([reply.resource])]
        case pb.DiffResponse():
            return [difference_rows(reply.differences)]
        case pb.GetRolloutResponse():
            behind = ", ".join(reply.behind) or "-"
            row = (str(reply.n_live), str(reply.n_in_force), behind)
            return [[("LIVE", "IN FORCE", "BEHIND"), row]]
        case pb.GetStatusResponse():
            return _status_rows(reply)
    fields = [(str(name), str(value)) for name, value in document_of(reply).items()]
    return [[("FIELD", "VALUE"), *fields]]


def difference_rows(found: Sequence[Any]) -> list[tuple[str, ...]]:
    """Return a table of field differences."""
    rows = [(d.field, d.before or "-", d.after or "-") for d in found]
    return [("FIELD", "BEFORE", "AFTER"), *rows]


def _resource_rows(resources: Sequence[pb.Resource]) -> list[tuple[str, ...]]:
    rows = []
    for resource in resources:
        kind = resource.WhichOneof("spec") or "-"
        spec = document_of(getattr(resource, kind)) if kind != "-" else {}
        shown = "deleted" if resource.deleted else json.dumps(spec, sort_keys=True)
        rows.append((kind, resource.name, str(resource.version), shown))
    return [("KIND", "NAME", "VERSION", "SPEC"), *rows]


def _status_rows(status: pb.GetStatusResponse) -> list[list[tuple[str, ...]]]:
    reachable = "yes" if status.store_reachable else "no"
    tables: list[list[tuple[str, ...]]] = [
        [("REVISION", "STORE"), (str(status.revision_in_force), reachable)],
        [
            ("HOST", "ROLE", "DATA CENTRE", "STATE", "DRAINING", "REVISION"),
            *(
                (
                    host.name,
                    host.role,
                    host.data_centre,
                    host.state,
                    "yes" if host.draining else "no",
                    str(host.revision_in_force),
                )
                for host in status.hosts
            ),
        ],
    ]
    if status.leases:
        rows = [(e.name, e.holder, str(e.fencing_number)) for e in status.leases]
        tables.append([("LEASE", "HOLDER", "FENCE"), *rows])
    if status.groups:
        tables.append([("GROUP", "MAP", "NEXT", "FROZEN", "SKEW", "MOVED")])
        tables[-1].extend(
            (
                group.name,
                str(group.map_version),
                str(group.preparing_version or "-"),
                "yes" if group.frozen else "no",
                f"{group.skew:.3f}",
                str(group.n_experts_moved),
            )
            for group in status.groups
        )
    return tables
