"""JSON logs: one line for each change of state."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger

LOGGER = logging.getLogger("coltsfootsail")


def configure(level=logging.INFO, stream=None):
    """Send the log as JSON lines to a stream.

    :param stream: standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = jsonlogger.JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level"},
    )
    handler.setFormatter(formatter)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def state(event, **fields):
    """Log a change of state.

    :param event: a short name.
    :param fields: what changed; never secrets.
    """
    LOGGER.info(event, extra=fields)


def detail(event, **fields):
    """Log one of many decisions; left out where the budget is spent.

    :param event: a short name.
    :param fields: the inputs that decided it and the outcome.
    """
    LOGGER.debug(event, extra=fields)
