"""Carries callers' requests to upstreams and their answers back.

Routing, queues, limits, retries, outcomes and payments.
"""

__all__: list[str] = []
