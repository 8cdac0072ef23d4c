"""Admission control of an entry host, before a request is sent to an upstream."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from ..errors import Refused
from .caller import CallerRequest
from .limits import WorkspaceLimits

__all__ = ["Admission"]

RETRY_AFTER_MS = 500


class Admission:
    """Limits the requests that the entry host has in flight.

    Parameters
    ----------
    n_slots : int
        Upper limit of requests in flight.
    limits : WorkspaceLimits, optional
        Limits of the workspaces.
    """

    def __init__(self, n_slots: int = 4096, limits: WorkspaceLimits | None = None):
        self._limits = limits
        self._slots = trio.Semaphore(n_slots)

    @asynccontextmanager
    async def admit(self, request: CallerRequest) -> AsyncIterator[None]:
        """Hold a slot for the length of a block; raises `Refused` if none is free."""
        if self._limits is not None:
            self._limits.check(request)
        try:
            self._slots.acquire_nowait()
        except trio.WouldBlock:
            raise Refused("the entry host is full", RETRY_AFTER_MS) from None
        try:
            yield
        finally:
            self._slots.release()
