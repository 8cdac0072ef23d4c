"""Kinds of resources that operators declare, and their specs."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple

from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from ..errors import Finding, FindingsError
from .formats import FORMAT_KEY, check_format
from .store import StoredObject

__all__ = [
    "BOOKKEEPING_KEYS",
    "CONFIGURATION_FORMAT",
    "DRAIN_KIND",
    "FREEZE_KIND",
    "KINDS",
    "STORE_KIND",
    "CallSpec",
    "DeploymentSpec",
    "ModelGroupSpec",
    "PlainServiceSpec",
    "Resource",
    "ServiceSpec",
    "WorkspaceSpec",
    "check_spec",
    "fields_of_later_releases",
    "object_name",
    "resource_of",
]


class ModelGroupSpec(TypedDict):
    """An expert-parallel group, whose ranks run in lock-step with one expert map."""

    model: str
    n_ranks: int
    n_experts: int
    n_layers: int
    expert_bytes: int
    checks_orders: bool


class CallSpec(TypedDict):
    """Calls of a plain service, by method and path prefix."""

    method: str
    path_prefix: str
    repeatable: bool


class PlainServiceSpec(TypedDict):
    """A service without a model engine, and which of its calls may be repeated.

    A call that matches no entry of ``calls`` may not be repeated.
    """

    calls: list[CallSpec]
    checks_orders: bool


class ServiceSpec(TypedDict):
    """A caller of the system: its upstream, priority class and deadline."""

    upstream: str
    priority_class: Literal["urgent", "drafting"]
    deadline_ms: int


class WorkspaceSpec(TypedDict):
    """A customer's share, limits and credentials.

    ``token_sha256`` contains the hex digests of its callers' bearer tokens.
    """

    share: float
    requests_per_s: float
    tokens_per_s: float
    services: list[str]
    token_sha256: list[str]


class DeploymentSpec(TypedDict):
    """Weights of skew across ranks and of the cost of rebalancing."""

    skew_weight: float
    rebalance_cost_weight: float


_SPECS: dict[str, Any] = {
    "modelgroups": ModelGroupSpec,
    "plainservices": PlainServiceSpec,
    "services": ServiceSpec,
    "workspaces": WorkspaceSpec,
    "deployments": DeploymentSpec,
}
_ADAPTERS = {kind: TypeAdapter(spec) for kind, spec in _SPECS.items()}

KINDS: tuple[str, ...] = tuple(_SPECS)

# Kinds that operators change through dedicated calls.
DRAIN_KIND = "hostdrains"
FREEZE_KIND = "rebalancingfreezes"

# All resources share one kind in the store, so that one watch yields them in order.
STORE_KIND = "configuration"
BOOKKEEPING_KEYS = frozenset({"operations", "history", FORMAT_KEY})
CONFIGURATION_FORMAT = 1


def check_spec(kind: str, name: str, spec: Any) -> dict[str, Any]:
    """Validate a spec and return it; raises `FindingsError` with every finding.

    Examples
    --------
    >>> check_spec("deployments", "armor", {"skew_weight": "much"})
    Traceback (most recent call last):
    ...
    poplarward.errors.FindingsError: ...
    """
    if kind not in _ADAPTERS:
        raise FindingsError([Finding("$.kind", repr(kind), ", ".join(KINDS))])
    try:
        return _ADAPTERS[kind].validate_python(spec)
    except ValidationError as error:
        findings = [
            Finding(
                f"{kind}/{name}: $." + ".".join(str(part) for part in item["loc"]),
                repr(item["input"])[:80],
                item["msg"],
            )
            for item in error.errors()
        ]
        raise FindingsError(findings) from None


def fields_of_later_releases(kind: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a stored spec that are unknown to this release.

    Examples
    --------
    >>> spec = {"skew_weight": 3.0, "rebalance_cost_weight": 1.0, "new": 7}
    >>> fields_of_later_releases("deployments", spec)
    {'new': 7}
    """
    if kind not in _SPECS:
        return {}
    known = _SPECS[kind].__annotations__.keys() | BOOKKEEPING_KEYS
    return {name: value for name, value in spec.items() if name not in known}


class Resource(NamedTuple):
    """A declared resource at a version; ``spec`` is None if it was deleted."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None


def object_name(kind: str, name: str) -> str:
    """Return the name of the stored object for a resource."""
    return f"{kind}.{name}"


def resource_of(stored: StoredObject, deleted: bool = False) -> Resource:
    """Return the resource that a stored object represents.

    Raises `FormatUnsupported`.

    Examples
    --------
    >>> spec = {"share": 1.0, "operations": ["5d"], "history": []}
    >>> resource_of(StoredObject("configuration", "workspaces.ateliers", 4, spec))
    Resource(kind='workspaces', name='ateliers', version=4, spec={'share': 1.0})
    """
    kind, _, name = stored.name.partition(".")
    if not deleted:
        check_format(f"{kind}/{name}", stored.spec, CONFIGURATION_FORMAT)
    spec = {k: v for k, v in stored.spec.items() if k not in BOOKKEEPING_KEYS}
    return Resource(kind, name, stored.version, None if deleted else spec)
