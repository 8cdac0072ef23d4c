"""Groups upstreams that serve the same requests into pools.

Model groups that serve one model are one pool: callers name the model, and any of the
groups may serve the request. A plain service is a pool of its own. A pool has the name
of its first upstream in alphabetical order.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..state import ConfigurationView

__all__ = ["UpstreamPools"]


class UpstreamPools:
    """The pools of the applied configuration.

    The index is rebuilt at the first look-up after a change of the configuration.

    Parameters
    ----------
    configuration : ConfigurationView
        The applied configuration.
    """

    def __init__(self, configuration: ConfigurationView):
        self._configuration = configuration
        self._indexed_change = -1
        self._pool_of_model: dict[str, str] = {}
        self._pool_of_group: dict[str, str] = {}
        self._groups_of_pool: dict[str, list[str]] = {}

    def of_upstream(self, upstream: str) -> str:
        """Return the pool of the model group or plain service with a name."""
        self._refresh()
        return self._pool_of_group.get(upstream, upstream)

    def of_model(self, model: str) -> str | None:
        """Return the pool that serves a model, or None."""
        self._refresh()
        return self._pool_of_model.get(model)

    def groups(self, pool: str) -> Sequence[str]:
        """Return the sorted model groups of a pool; none for a plain service."""
        self._refresh()
        return self._groups_of_pool.get(pool, ())

    def by_group(self) -> dict[str, str]:
        """Return the pool of each model group; the same object while none changes."""
        self._refresh()
        return self._pool_of_group

    def _refresh(self) -> None:
        if self._indexed_change == self._configuration.n_changes:
            return
        self._indexed_change = self._configuration.n_changes
        model_of_group = {
            name: spec["model"]
            for name, spec in self._configuration.specs("modelgroups")
        }
        self._pool_of_model = {}
        for name in sorted(model_of_group):
            self._pool_of_model.setdefault(model_of_group[name], name)
        pools = {
            name: self._pool_of_model[model] for name, model in model_of_group.items()
        }
        if pools != self._pool_of_group:
            self._pool_of_group = pools
            self._groups_of_pool = {}
            for name in sorted(pools):
                self._groups_of_pool.setdefault(pools[name], []).append(name)
