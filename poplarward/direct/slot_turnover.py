"""Estimates the rate at which the slots of a service become free for one host.

Load pattern: all slots are taken, and each of many entry hosts has a request or two
waiting. A slot that any host's request leaves may be taken by any other, so the
releases that a host sees itself tell little: few when it has few requests, and none
just after its start, when callers come back after an outage. The rate follows from what
all hosts have in flight and how long a request takes, and is divided by the hosts that
have requests waiting.
"""

from __future__ import annotations

__all__ = ["SlotTurnover"]

SMOOTHING = 0.1  # Answers differ widely in length; about ten are averaged.


class SlotTurnover:
    """How long requests keep their slots, and how many slots become free for a host.

    Examples
    --------
    >>> turnover = SlotTurnover()
    >>> turnover.freed_per_s(n_in_flight=60, n_hosts_waiting=3) is None
    True
    >>> turnover.record(1_500.0)
    >>> turnover.freed_per_s(n_in_flight=60, n_hosts_waiting=4)
    10.0
    """

    def __init__(self) -> None:
        self._held_ms: float | None = None

    def record(self, held_ms: float) -> None:
        """Record how long a request that has ended kept its slot."""
        if self._held_ms is None:
            self._held_ms = held_ms
        else:
            self._held_ms += SMOOTHING * (held_ms - self._held_ms)

    def freed_per_s(
        self,
        n_in_flight: float,
        n_hosts_waiting: int,
        usual_held_ms: float | None = None,
    ) -> float | None:
        """Return the slots that become free for each waiting host per second.

        Parameters
        ----------
        n_in_flight : float
            Requests of all hosts.
        n_hosts_waiting : int
            Hosts that have requests waiting, with this one.
        usual_held_ms : float or None
            How long a request is expected to keep a slot, until some have ended here.

        Returns
        -------
        float or None
            None if it can't be told.
        """
        held_ms = self._held_ms if self._held_ms is not None else usual_held_ms
        if not held_ms:
            return None
        return 1000 * n_in_flight / held_ms / max(1, n_hosts_waiting)
