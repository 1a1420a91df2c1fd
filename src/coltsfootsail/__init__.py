"""A serving layer for very many LoRA adapters."""

from coltsfootsail.api import complete
from coltsfootsail.api import route
from coltsfootsail.api import status
from coltsfootsail.exceptions import ColtsfootsailError
from coltsfootsail.exceptions import Outcome
from coltsfootsail.sessions import Session

__all__ = [
    "ColtsfootsailError",
    "Outcome",
    "Session",
    "complete",
    "route",
    "status",
]
