"""Converts errors to the typed refusals of the published schema."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError, ErrorDetail
from protobuf.wkt import Any as AnyMessage

from ..errors import (
    ConflictError,
    Finding,
    FindingsError,
    NotFound,
    RevisionTooOld,
    StoreUnavailable,
    WriteUnknown,
)
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..state import Resource
from .changes import VersionConflict
from .conversion import message_of
from .differences import Difference, differences

__all__ = ["difference_messages", "errors_as_refusals", "refusal"]

STORE_ALLOWED = "an object API that answers; try again in some seconds"


@contextmanager
def errors_as_refusals(proposed: Resource | None = None) -> Iterator[None]:
    """Convert errors raised in a block to refusals for the operator.

    Parameters
    ----------
    proposed : Resource, optional
        The resource that the call would have written, to compare with the current one.
    """
    try:
        yield
    except FindingsError as error:
        text = f"{len(error.findings)} findings"
        raise refusal(Code.INVALID_ARGUMENT, text, error.findings) from error
    except NotFound as error:
        finding = Finding("$.name", str(error), "the name of a resource that exists")
        raise refusal(Code.NOT_FOUND, str(error), [finding]) from error
    except VersionConflict as error:
        raise _conflict(error, proposed) from error
    except ConflictError as error:
        finding = Finding("$.expected_version", str(error), "the current version")
        raise refusal(Code.ABORTED, str(error), [finding]) from error
    except RevisionTooOld as error:
        finding = Finding("$.after_revision", str(error), "a revision of a new list")
        raise refusal(Code.OUT_OF_RANGE, str(error), [finding]) from error
    except WriteUnknown as error:
        finding = Finding("$", f"outcome unknown: {error}", "read it back, then decide")
        raise refusal(Code.DEADLINE_EXCEEDED, str(error), [finding]) from error
    except StoreUnavailable as error:
        finding = Finding("store", str(error), STORE_ALLOWED)
        raise refusal(Code.UNAVAILABLE, str(error), [finding]) from error


def refusal(
    code: Code, text: str, findings: Sequence[Finding], **fields: Any
) -> ConnectError:
    """Return a refusal with its findings and further fields of `pb.Refusal`."""
    messages = [
        pb.Finding(place=f.place, found=f.found, allowed=f.allowed) for f in findings
    ]
    detail = pb.Refusal(findings=messages, **fields)
    url = "type.googleapis.com/" + detail.DESCRIPTOR.full_name
    packed = AnyMessage(type_url=url, value=detail.SerializeToString())
    return ConnectError(code, text, [ErrorDetail(packed)])


def difference_messages(found: Sequence[Difference]) -> list[pb.FieldDifference]:
    """Return the messages of field differences."""
    return [pb.FieldDifference(field=f, before=b, after=a) for f, b, a in found]


def _conflict(error: VersionConflict, proposed: Resource | None) -> ConnectError:
    current = error.current
    version = 0 if current is None else current.version
    finding = Finding("$.expected_version", str(error), str(version))
    fields: dict[str, Any] = {}
    if current is not None:
        fields["current"] = message_of(current)
    if proposed is not None:
        before = {} if current is None else current.spec
        changed = differences(before, proposed.spec or {})
        fields["differences"] = difference_messages(changed)
    return refusal(Code.ABORTED, str(error), [finding], **fields)
