"""Adapters to the users' platform: its names, headers and store.

This package translates between the platform's formats and the types of
the rest of the code, which uses only the latter.  It makes no decisions.
"""

from coltsfootsail.platform import engines
from coltsfootsail.platform import messages
from coltsfootsail.platform import registry
from coltsfootsail.platform.store import StoreClient

__all__ = ("StoreClient", "engines", "messages", "registry")
