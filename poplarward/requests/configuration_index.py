"""Looks up what a caller's request refers to in the applied configuration."""

from __future__ import annotations

import hashlib
from typing import Any

from ..protocol.requests import PriorityClass
from ..state import ConfigurationView
from .caller import CallerError
from .pools import UpstreamPools

__all__ = ["ConfigurationIndex"]


DEFAULT_SHARE = 1.0
MIN_SHARE = 0.001


class ConfigurationIndex:
    """Index of the applied configuration by the values that callers send.

    The index is rebuilt at the first look-up after a change of the configuration, so a
    look-up costs the same for ten workspaces as for thousands.

    Attributes
    ----------
    pools : UpstreamPools
        The pools of upstreams that serve the same requests.

    Parameters
    ----------
    configuration : ConfigurationView
        The applied configuration.
    """

    def __init__(self, configuration: ConfigurationView):
        self._configuration = configuration
        self._indexed_change = -1
        self._workspace_of_digest: dict[str, str] = {}
        self.pools = UpstreamPools(configuration)

    def workspace(self, authorization: str) -> str:
        """Return the workspace of an ``Authorization`` header's bearer token."""
        self._refresh()
        scheme, _, token = authorization.partition(" ")
        digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
        name = self._workspace_of_digest.get(digest)
        if scheme.lower() != "bearer" or name is None:
            raise CallerError(401, "no workspace has this credential")
        return name

    def share(self, workspace: str) -> float:
        """Return a workspace's share, at least `MIN_SHARE`."""
        spec = self._configuration.get("workspaces", workspace)
        return max(MIN_SHARE, spec.get("share", DEFAULT_SHARE)) if spec else MIN_SHARE

    def model_pool(self, model: Any) -> str:
        """Return the pool of the model groups that serve a model."""
        name = self.pools.of_model(model) if isinstance(model, str) else None
        if name is None:
            raise CallerError(404, f"no model group serves {str(model)[:80]!r}")
        return name

    def is_repeatable(self, plain_service: str, method: str, path: str) -> bool:
        """Return whether a call of a plain service may safely run more than once."""
        spec = self._configuration.get("plainservices", plain_service)
        if spec is None:
            raise CallerError(404, f"no plain service {plain_service[:80]!r}")
        for call in spec["calls"]:
            if call["method"] == method and _has_path_prefix(path, call["path_prefix"]):
                return call["repeatable"]
        return False

    def service(self, workspace: str, name: str, pool: str) -> Any:
        """Return the calling service that a request names, or None."""
        if not name:
            return None
        spec = self._configuration.get("services", name)
        if spec is None:
            raise CallerError(404, f"no service {name[:80]!r}")
        if self.pools.of_upstream(spec["upstream"]) != pool:
            raise CallerError(403, f"service {name} does not call {pool}")
        allowed = self._configuration.get("workspaces", workspace)["services"]
        if allowed and name not in allowed:
            raise CallerError(403, f"workspace {workspace} does not have {name}")
        return spec

    def priority_class(self, service: Any, default: PriorityClass) -> PriorityClass:
        """Return the priority class of a calling service, or the default."""
        return PriorityClass(service["priority_class"]) if service else default

    def _refresh(self) -> None:
        if self._indexed_change == self._configuration.n_changes:
            return
        self._indexed_change = self._configuration.n_changes
        self._workspace_of_digest = {
            digest: name
            for name, spec in self._configuration.specs("workspaces")
            for digest in spec["token_sha256"]
        }


def _has_path_prefix(path: str, prefix: str) -> bool:
    prefix = prefix.rstrip("/")
    return path == prefix or path.startswith((prefix + "/", prefix + "?"))
