"""Logs: short sentences, each with the fixed prefix of its part."""

from __future__ import annotations

import logging
import sys
from enum import Enum
from typing import TYPE_CHECKING, Any, Literal

import structlog

if TYPE_CHECKING:
    from collections.abc import MutableMapping


class Part(Enum):
    """The parts of the program that write logs; the value is the prefix of their lines."""

    ROUTER = "ROUTER"
    CALLER = "CALLER"
    ENGINE = "ENGINE"
    SERVICE = "SERVICE"
    POOL = "POOL"
    PEER = "PEER"
    RECORD = "RECORD"
    CONFIG = "CONFIG"
    ADMIN = "ADMIN"
    STOP = "STOP"


def start_logs(form: Literal["console", "json"], level: str, **fields: str) -> None:
    """Set up logs on standard error.

    :param form: text for people, or one JSON object a line
    :param level: the lowest level that is written
    :param fields: what stands on every line, such as the VM and the hall
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _put_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(**fields)


def get_log(part: Part) -> structlog.stdlib.BoundLogger:
    """Return the log of one part."""
    log: structlog.stdlib.BoundLogger = structlog.get_logger(part=part.value)
    return log


def _put_prefix(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    event["event"] = f"{event.pop('part', 'MAIN')}: {event['event']}"
    return event
