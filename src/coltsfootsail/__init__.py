"""A serving layer for very many LoRA adapters.

The client's names are imported when first used, so that a daemon does not
carry the client.
"""

import importlib

_HOMES = {
    "ColtsfootsailError": "exceptions",
    "Outcome": "exceptions",
    "Session": "sessions",
    "complete": "api",
    "route": "api",
    "status": "api",
}

__all__ = list(_HOMES)


def __getattr__(name):
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{home}"), name)
