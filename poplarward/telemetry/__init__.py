"""Logs and metrics shared by all programs.

Logs have one line of key=value pairs per event. Metrics are histograms and counters
per workspace and priority class.
"""

import lazy_loader

# Submodules are imported on first use, so that programs load only what they need.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "agent_metrics": ["AgentLoadSample", "AgentMetrics"],
        "logs": ["configure_logs", "get_logger"],
        "metrics": ["GroupMetrics", "RequestMetrics", "RequestTimer"],
    },
)
