"""Converts between the schema's messages and configuration resources."""

from __future__ import annotations

from typing import Any

from google.protobuf.json_format import MessageToDict, ParseDict

from ..errors import Finding, FindingsError
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..state import Resource

__all__ = ["KIND_OF_FIELD", "is_declared", "message_of", "spec_of"]

KIND_OF_FIELD = {
    "model_group": "modelgroups",
    "plain_service": "plainservices",
    "service": "services",
    "workspace": "workspaces",
    "deployment": "deployments",
}
_FIELD_OF_KIND = {kind: field for field, kind in KIND_OF_FIELD.items()}


def spec_of(message: pb.Resource) -> tuple[str, dict[str, Any]]:
    """Return kind and spec of a resource message; raises `FindingsError`."""
    field = message.WhichOneof("spec")
    if field is None:
        allowed = ", ".join(KIND_OF_FIELD)
        raise FindingsError([Finding("$.resource", "no spec", f"one of {allowed}")])
    spec = MessageToDict(
        getattr(message, field),
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return KIND_OF_FIELD[field], spec


def is_declared(resource: Resource) -> bool:
    """Return whether operators declare resources of this kind."""
    return resource.kind in _FIELD_OF_KIND


def message_of(resource: Resource) -> pb.Resource:
    """Return the message of a resource."""
    message = pb.Resource(
        name=resource.name, version=resource.version, deleted=resource.spec is None
    )
    field = getattr(message, _FIELD_OF_KIND[resource.kind])
    field.SetInParent()
    ParseDict(resource.spec or {}, field, ignore_unknown_fields=True)
    return message
