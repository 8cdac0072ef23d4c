"""Logs and metrics shared by all programs.

Logs are one line of key=value pairs for each event. Metrics are histograms and
counters per workspace and class.
"""

from .agent_metrics import AgentLoadNow, AgentMetrics
from .logs import configure_logs, get_logger
from .metrics import GroupMetrics, RequestMetrics, RequestTimer

__all__ = [
    "AgentLoadNow",
    "AgentMetrics",
    "GroupMetrics",
    "RequestMetrics",
    "RequestTimer",
    "configure_logs",
    "get_logger",
]
