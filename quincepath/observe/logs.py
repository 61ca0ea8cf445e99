"""Structured logs by structlog: JSON lines or a console, to standard error."""

import logging
import sys
from typing import Any, Literal

import structlog

Format = Literal["json", "console"]


def setup(form: Format = "json", level: str = "info") -> None:
    """Configure once a process; ``level`` is a name of the standard library's."""
    render: Any = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def logger(**fields: Any) -> Any:
    """A logger with these fields on each line."""
    return structlog.get_logger().bind(**fields)
