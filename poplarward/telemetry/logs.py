"""Logging with one line of key=value pairs per event."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from .line_writer import LineWriter

__all__ = ["configure_logs", "get_logger"]


def configure_logs(
    program: str, level: str = "info", writer: LineWriter | None = None
) -> None:
    """Send the log to standard error, one line of key=value pairs per event.

    Parameters
    ----------
    program : str
        Program name, included in every line.
    level : str
        Lowest level that is written: debug, info, warning or error.
    writer : LineWriter, optional
        Destination of the lines instead of standard error.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=writer or structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(program=program)


def get_logger(name: str) -> Any:
    """Return a logger whose lines include the component's name."""
    return structlog.get_logger(component=name)
