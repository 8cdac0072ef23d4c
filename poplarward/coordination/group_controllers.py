"""The controllers of all declared model groups, on an entry host.

Every entry host runs a controller for each group, but a controller acts only while
its host holds the group's control role.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import trio

from ..errors import Finding, FindingsError, NotFound
from ..protocol import Peers
from ..state import FREEZE_KIND, ConfigurationView, ObjectStore, Writer
from ..telemetry import GroupMetrics
from .expert_maps import ChangeOutcome, GroupHost, MapCoordinator, MapRecord
from .group_controller import GroupController, GroupState
from .rebalancing import CostModel, PlannerWeights
from .roles import ControlRoles, map_role

__all__ = ["GroupControllers"]

RECONCILE_INTERVAL_S = 1.0
LINK_BYTES_PER_S = 1e9
STORE_BYTES_PER_S = 2e8
STEP_MS = 40.0
SLOWED_SHARE = 0.2
DEFAULT_WEIGHTS = PlannerWeights(1.0, 1.0)


class _RunningController(NamedTuple):
    controller: GroupController
    spec: dict[str, Any]
    weights: PlannerWeights


class GroupControllers:
    """The controllers of all declared groups.

    Parameters
    ----------
    view : ConfigurationView
        Configuration with the groups, the deployment's weights and the freezes.
    roles : ControlRoles
        Control roles of this host; they determine which groups it leads.
    hosts : callable
        Returns the known hosts of a group.
    metrics : GroupMetrics, optional
        Metrics that record step time and skew of the groups that this host leads.
    """

    def __init__(
        self,
        peers: Peers,
        store: ObjectStore,
        writer: Writer,
        view: ConfigurationView,
        roles: ControlRoles,
        hosts: Callable[[str], Sequence[GroupHost]],
        metrics: GroupMetrics | None = None,
    ):
        self._metrics = metrics
        self._peers = peers
        self._store = store
        self._writer = writer
        self._view = view
        self._roles = roles
        self._hosts = hosts
        self._running: dict[str, _RunningController] = {}
        self._nursery: trio.Nursery | None = None

    def groups(self) -> list[GroupState]:
        """Return the state of the groups that this host leads."""
        states = [running.controller.state() for running in self._running.values()]
        return [state for state in states if state.is_leading]

    async def force(self, group: str) -> tuple[int, int]:
        """Rebalance a group now; returns the map version and number of moved experts.

        Raises `NotFound` for an unknown group, `FindingsError` if the group can't be
        rebalanced now.
        """
        running = self._running.get(group)
        if running is None:
            raise NotFound(f"modelgroups/{group}")
        before = running.controller.state()
        if not before.is_leading:
            finding = Finding("$.group", "led elsewhere", "a group that is led here")
            raise FindingsError([finding])
        result = await running.controller.rebalance()
        if result is not None and result.outcome is not ChangeOutcome.COMMITTED:
            finding = Finding(
                "$.group", result.reason, "a group whose hosts all answer"
            )
            raise FindingsError([finding])
        after = running.controller.state()
        return after.map_version, after.n_experts_moved - before.n_experts_moved

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to keep the controllers in line with the declared groups."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop every controller."""
        self._nursery = None
        for running in self._running.values():
            await running.controller.close()

    async def _run(self) -> None:
        while self._nursery is not None:
            await self._reconcile()
            await trio.sleep(RECONCILE_INTERVAL_S)

    async def _reconcile(self) -> None:
        declared = dict(self._view.specs("modelgroups"))
        weights = self._weights()
        for name, running in list(self._running.items()):
            if declared.get(name) != running.spec or weights != running.weights:
                del self._running[name]
                await running.controller.close()
        for name, spec in declared.items():
            if name not in self._running:
                controller = self._new_controller(name, spec, weights)
                self._running[name] = _RunningController(controller, spec, weights)
                assert self._nursery is not None
                await controller.start(self._nursery)

    def _weights(self) -> PlannerWeights:
        for _, spec in self._view.specs("deployments"):
            return PlannerWeights(spec["skew_weight"], spec["rebalance_cost_weight"])
        return DEFAULT_WEIGHTS

    def _new_controller(
        self, name: str, spec: dict[str, Any], weights: PlannerWeights
    ) -> GroupController:
        coordinator = MapCoordinator(
            self._peers,
            name,
            lambda: self._roles.fence(map_role(name)),
            lambda: self._hosts(name),
            lambda: spec["n_ranks"],
            MapRecord(self._store, self._writer, name),
        )
        costs = CostModel(
            spec["expert_bytes"],
            LINK_BYTES_PER_S,
            STORE_BYTES_PER_S,
            STEP_MS,
            SLOWED_SHARE,
        )
        return GroupController(
            coordinator,
            weights,
            costs,
            lambda: self._is_frozen(name),
            self._metrics,
        )

    def _is_frozen(self, name: str) -> bool:
        return self._view.get(FREEZE_KIND, name) is not None
