"""The kinds that operators declare, and the copy a process has in force."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Literal, NamedTuple

from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from ..errors import Finding, FindingsError
from .store import StoredObject

__all__ = [
    "KINDS",
    "CallSpec",
    "ConfigurationView",
    "DeploymentSpec",
    "ModelGroupSpec",
    "PlainServiceSpec",
    "Resource",
    "ServiceSpec",
    "WorkspaceSpec",
    "check_spec",
]


class ModelGroupSpec(TypedDict):
    """An expert-parallel group: its ranks advance in lock-step on one expert map."""

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
    """A service that is no model engine, and which of its calls may be repeated.

    A call that no entry of ``calls`` names may not be repeated.
    """

    calls: list[CallSpec]
    checks_orders: bool


class ServiceSpec(TypedDict):
    """A caller of the system: what it uses, how urgent it is, its deadline."""

    upstream: str
    priority_class: Literal["urgent", "drafting"]
    deadline_ms: int


class WorkspaceSpec(TypedDict):
    """A customer's share, limits and credentials.

    ``token_sha256`` holds the hex digests of the bearer tokens of its callers.
    """

    share: float
    requests_per_s: float
    tokens_per_s: float
    services: list[str]
    token_sha256: list[str]


class DeploymentSpec(TypedDict):
    """How a deployment weighs skew across ranks against the cost of rebalancing."""

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


def check_spec(kind: str, name: str, spec: Any) -> dict[str, Any]:
    """Return a checked spec; raises `FindingsError` with every finding.

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


class Resource(NamedTuple):
    """A declared object at a version; ``spec`` is None once it was deleted."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None


class ConfigurationView:
    """The configuration that a process has in force.

    Each object only ever moves to a greater version, and a deleted one is
    remembered with the version of its deletion, so that an older message cannot
    bring it back.

    Attributes
    ----------
    revision : int
        Every change up to this revision of the store is in force.
    n_changes : int
        Rises whenever a resource was put in force.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.n_changes = 0
        self._resources: dict[tuple[str, str], Resource] = {}

    def apply(self, resource: Resource) -> bool:
        """Put a resource in force if it is newer; returns whether it was."""
        key = (resource.kind, resource.name)
        held = self._resources.get(key)
        if held is not None and held.version >= resource.version:
            return False
        self._resources[key] = resource
        self.n_changes += 1
        return True

    def advance(self, revision: int) -> None:
        """Note that every change up to a revision is in force."""
        self.revision = max(self.revision, revision)

    def get(self, kind: str, name: str) -> Any:
        """Return a spec, or None if there is no such object."""
        held = self._resources.get((kind, name))
        return None if held is None else held.spec

    def version(self, kind: str, name: str) -> int:
        """Return an object's version, 0 if it was never seen."""
        held = self._resources.get((kind, name))
        return 0 if held is None else held.version

    def all(self, kind: str | None = None) -> list[Resource]:
        """Return every resource of a kind, deleted ones included."""
        return [
            resource
            for resource in self._resources.values()
            if kind is None or resource.kind == kind
        ]

    def specs(self, kind: str) -> Iterable[tuple[str, Any]]:
        """Yield name and spec of every object of a kind that exists."""
        for (its_kind, name), resource in self._resources.items():
            if its_kind == kind and resource.spec is not None:
                yield name, resource.spec


def resource_of(stored: StoredObject, deleted: bool = False) -> Resource:
    """Return the resource that an object of the store stands for."""
    spec = None if deleted else stored.spec
    return Resource(stored.kind, stored.name, stored.version, spec)
