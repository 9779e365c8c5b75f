"""Structured logging as JSON lines."""

import json
import logging
import sys

import structlog


def configure_logs(level="info", stream=None, sink=None):
    """Configure structlog to write one JSON line per event.

    Parameters
    ----------
    level : str
        Minimum level to write.
    stream : file object or None
        Output stream; standard output if None.
    sink : LogSink or None
        Receives the lines instead of a stream; rate-limited and non-blocking.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=_choose_factory(stream, sink),
    )


def route_standard_logs(sink):
    """Send what libraries log by the module `logging` to a sink, as JSON lines.

    By default it would go to standard error, where a write may wait for a reader.

    Parameters
    ----------
    sink : LogSink
        Receives the lines.
    """
    logging.basicConfig(handlers=[_SinkHandler(sink)], level=logging.WARNING)
    logging.captureWarnings(capture=True)


class _SinkHandler(logging.Handler):
    def __init__(self, sink):
        super().__init__()
        self._sink = sink

    def emit(self, record):
        entry = {
            "event": "message of a library",
            "library": record.name,
            "level": record.levelname.lower(),
            "message": self.format(record),
        }
        self._sink.msg(json.dumps(entry))


def _choose_factory(stream, sink):
    if sink is not None:
        return lambda *_: sink
    return structlog.PrintLoggerFactory(stream or sys.stdout)
