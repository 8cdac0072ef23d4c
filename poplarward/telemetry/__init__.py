"""Logs and metrics shared by all programs.

Logs are one line of key=value pairs for each event. Metrics are histograms and
counters per workspace and class.
"""

import lazy_loader

# Programs start with the modules that they use, not with all of the package.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "agent_metrics": ["AgentLoadSample", "AgentMetrics"],
        "logs": ["configure_logs", "get_logger"],
        "metrics": ["GroupMetrics", "RequestMetrics", "RequestTimer"],
    },
)
