"""Structured logs by structlog, as JSON lines or console text, to standard error."""

import logging
import sys
from typing import Any, Literal

import structlog

Format = Literal["json", "console"]


def setup(output_format: Format = "json", level: str = "info") -> None:
    """Configure logging, once per process; ``level`` is a level name of the standard library."""
    renderer: Any = (
        structlog.processors.JSONRenderer() if output_format == "json" else structlog.dev.ConsoleRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def logger(**fields: Any) -> Any:
    """A logger that adds these fields to each line."""
    return structlog.get_logger().bind(**fields)
