"""JSON logs: one line for each decision and each change of state.

Changes of state are always written.  Decisions that touch a request are
written within a budget of lines a second; what is left out is counted and
said.  Writing never blocks: a line that the reader has no room for is
left out too.
"""

import logging
import os
import select
import sys
import time

from pythonjsonlogger import json as jsonlogger

LOGGER = logging.getLogger("coltsfootsail")
LINE_BYTES_MAX = 4096  # a pipe with room takes this much without blocking
DETAIL_LINES_PER_S = 500  # four lines a request at 120 requests a second
DETAIL_BURST = 1000


class _Budget:
    """Lines of detail that may be written, as a token bucket."""

    def __init__(self, per_s, burst, now=time.monotonic):
        self._per_s = per_s
        self._burst = burst
        self._now = now
        self._tokens = float(burst)
        self._at_s = now()

    def take(self):
        """Take one line.

        :returns: whether there was one left.
        """
        now_s = self._now()
        earned = (now_s - self._at_s) * self._per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PipeHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it.

    :param descriptor: where to write.
    :param budget: ``_Budget`` of lines below ``INFO``.
    """

    def __init__(self, descriptor, budget):
        super().__init__()
        self._descriptor = descriptor
        self._budget = budget
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.left_out = 0

    def emit(self, record):
        """Write one record, or count it as left out."""
        if record.levelno < logging.INFO and not self._budget.take():
            self.left_out += 1
            return
        if self.left_out:
            record.left_out = self.left_out
        if self._write(self.format(record)):
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
            # The reader is gone; there is nobody left to tell.
            return False
        return True


def _formatter():
    return jsonlogger.JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level"},
    )


def _install(handler, level):
    handler.setFormatter(_formatter())
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def configure(level=logging.INFO, stream=None):
    """Send the log as JSON lines to a stream.

    :param stream: standard error by default.
    """
    _install(logging.StreamHandler(stream or sys.stderr), level)


def configure_pipe(descriptor, level=logging.DEBUG):
    """Send the log as JSON lines to a descriptor, never blocking."""
    budget = _Budget(DETAIL_LINES_PER_S, DETAIL_BURST)
    _install(PipeHandler(descriptor, budget), level)


def state(event, **fields):
    """Log a change of state.

    :param event: a short name.
    :param fields: what changed; never secrets.
    """
    LOGGER.info(event, extra=fields)


def detail(event, **fields):
    """Log a decision that touches a request.

    :param event: a short name.
    :param fields: the inputs that decided it and the outcome.
    """
    LOGGER.debug(event, extra=fields)


def failure(event, exc):
    """Log an error that the code did not foresee, with its traceback.

    :param exc: the exception.
    """
    LOGGER.error(event, exc_info=exc, extra={"reason": repr(exc)})
