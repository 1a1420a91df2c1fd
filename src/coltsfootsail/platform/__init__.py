"""The users' platform: its names, messages and store, translated.

Nothing here decides; everything outside this package uses the product's
own types only.
"""

from coltsfootsail.platform import engines
from coltsfootsail.platform import messages
from coltsfootsail.platform import registry
from coltsfootsail.platform.store import StoreClient

__all__ = ("StoreClient", "engines", "messages", "registry")
