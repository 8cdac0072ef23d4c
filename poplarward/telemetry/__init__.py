"""Logs and metrics shared by all programs.

Logs are one line of key=value pairs for each event. Metrics are histograms and
counters per workspace and class.
"""

from .logs import configure_logs, get_logger

__all__ = ["configure_logs", "get_logger"]
