"""JSON logs: one line for each decision and each change of state.

Changes of state are always logged.  Decisions about single requests are
logged up to a rate limit.  Writing to a pipe never blocks: a line is
dropped while the pipe is full.  The next line that is written states how
many lines were dropped before it, in the field ``left_out``.
"""

import logging
import os
import select
import sys
import time

from pythonjsonlogger import json as jsonlogger

from coltsfootsail import _token_bucket

LOGGER = logging.getLogger("coltsfootsail")
LINE_BYTES_MAX = 4096  # a writable pipe takes this much without blocking
# Leave room for the other fields of a line.
TRACEBACK_CHARS_MAX = 2400
REASON_CHARS_MAX = 400
DETAIL_LINES_PER_S = 500  # four lines per request at 120 requests/s
DETAIL_BURST = 1000


class PipeHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    :param descriptor: the file descriptor.
    :param detail_bucket: ``TokenBucket`` for lines below ``INFO``.
    :param now: closure that reads the clock of the bucket.
    """

    def __init__(self, descriptor, detail_bucket, now=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._now = now
        self._detail_bucket = detail_bucket
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.left_out = 0

    def emit(self, record):
        """Write one record, or drop and count it."""
        if record.levelno < logging.INFO and not self._detail_bucket.try_take(
            self._now()
        ):
            self.left_out += 1
            return
        if self.left_out:
            record.left_out = self.left_out
        try:
            is_written = self._write(self.format(record))
        except Exception:
            is_written = False  # a line must not end what it is about
        if is_written:
            self.left_out = 0
        else:
            self.left_out += 1

    def _write(self, text):
        data = text.encode()[: LINE_BYTES_MAX - 1] + b"\n"
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader has closed the pipe, so this can't be reported.
            return False
        return True


def _add_steady_time(record):
    """Stamp a record with a clock that does not jump with the time of day."""
    record.steady_s = round(time.clock_gettime(time.CLOCK_BOOTTIME), 3)
    return True


class _Formatter(jsonlogger.JsonFormatter):
    """Formats a line, with the end of a traceback that is too long."""

    def formatException(self, exc_info):  # noqa: N802
        return super().formatException(exc_info)[-TRACEBACK_CHARS_MAX:]


def _formatter():
    return _Formatter(
        "{asctime}{levelname}{message}{steady_s}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level"},
    )


def _install(handler, level):
    handler.setFormatter(_formatter())
    handler.addFilter(_add_steady_time)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def configure(level=logging.INFO, stream=None):
    """Write the log as JSON lines to a stream.

    :param stream: the stream; standard error by default.
    """
    _install(logging.StreamHandler(stream or sys.stderr), level)


def configure_pipe(descriptor, level=logging.DEBUG):
    """Write the log as JSON lines to a file descriptor, never blocking."""
    detail_bucket = _token_bucket.TokenBucket(
        DETAIL_LINES_PER_S, DETAIL_BURST, DETAIL_BURST, time.monotonic()
    )
    _install(PipeHandler(descriptor, detail_bucket), level)


def state(event, **fields):
    """Log a change of state.

    :param event: name of the event.
    :param fields: the changed values; never secrets.
    """
    LOGGER.info(event, extra=fields)


def detail(event, **fields):
    """Log a decision about a request, subject to the rate limit.

    :param event: name of the event.
    :param fields: the inputs of the decision and its outcome.
    """
    LOGGER.debug(event, extra=fields)


def failure(event, exc, **fields):
    """Log an unexpected error with its traceback.

    :param event: name of the event.
    :param exc: the exception.
    :param fields: what it is about.
    """
    reason = repr(exc)[:REASON_CHARS_MAX]
    LOGGER.error(event, exc_info=exc, extra={"reason": reason, **fields})
