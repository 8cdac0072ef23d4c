"""Looks up the route of a request and the workspace of a key."""

from __future__ import annotations

import random
from typing import NamedTuple

from .model import CallerRequest, Configuration, Route, Workspace

__all__ = ["Accepted", "Denied", "RoutingTable", "choose_service"]


class Accepted(NamedTuple):
    """A request that the configuration allows."""

    route: Route
    workspace: Workspace | None
    priority: int


class Denied(NamedTuple):
    """A request that the configuration does not allow."""

    status: int
    reason: str


class RoutingTable:
    """Index of the routes and keys of one configuration.

    Parameters
    ----------
    configuration : Configuration

    Examples
    --------
    >>> from poplarward.direct.model import CallerLimits, Configuration
    >>> table = RoutingTable(Configuration(3, (), {}, CallerLimits(), ()))
    >>> table.route("shop.example", "/orders/1") is None
    True
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self._routes = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._workspaces = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }
        self._needs_keys = bool(configuration.workspaces)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None without one."""
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def knows_key(self, key: str) -> bool:
        """Whether the key belongs to a workspace."""
        return key in self._workspaces

    def accept(self, request: CallerRequest) -> Accepted | Denied:
        """Return the request's route, workspace and priority, or why it is denied."""
        route = self.route(request.host, request.path)
        if route is None:
            return Denied(404, "no route")
        if route.is_public or not self._needs_keys:
            workspace = self._workspaces.get(request.key or "")
            return Accepted(route, workspace, route.priority)
        workspace = self._workspaces.get(request.key or "")
        if workspace is None:
            return Denied(401, "unknown key" if request.key else "no key")
        priority = workspace.priority
        return Accepted(
            route, workspace, route.priority if priority is None else priority
        )


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services, chosen at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
