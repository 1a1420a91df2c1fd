"""A serving layer for very many LoRA adapters.

The names of the client are imported on first use, so that a daemon does
not load the client.
"""

import importlib

_MODULES_BY_NAME = {
    "ColtsfootsailError": "exceptions",
    "Outcome": "exceptions",
    "Session": "sessions",
    "complete": "api",
    "route": "api",
    "status": "api",
}

__all__ = list(_MODULES_BY_NAME)


def __getattr__(name):
    module = _MODULES_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
