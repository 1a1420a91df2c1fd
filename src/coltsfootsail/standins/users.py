"""Sample configuration and server registrations of the users' platform.

They have the format that the users' documentation describes.
"""

HOST = "shop.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE = {
    "slots": 64,
    "kvTokens": 120000,
    "stride": 3,
    "models": [
        {
            "name": "base",
            "weightsMb": 65000.0,
            "loadS": 3.9,
            "adapters": 3000,
            "adapterMb": 12.0,
        }
    ],
    "weightsMb": 66600.0,
    "adapterSlots": 3,
    "loadsPerS": 2.1,
}


def route(prefix, kind, service, **fields):
    """Create a route of the operator's configuration."""
    return {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "timeoutMs": 3000,
        "sloMs": 1000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "sticky": kind == "streaming",
        "resumable": False,
        **fields,
    }


def configuration(version, extra=()):
    """Create the operator's configuration.

    :param extra: routes to add.
    """
    return {
        "version": version,
        "routes": [
            route("/notes/", "streaming", "engines", timeoutMs=15000),
            route("/prints/", "streaming", "engines", resumable=True),
            route("/orders/", "mutating", "shop"),
            route("/stock/", "idempotent", "shop"),
            *extra,
        ],
        "services": [
            {"name": "engines", "maxConns": 370, "engine": ENGINE},
            {"name": "shop", "maxConns": 110},
        ],
        "limits": LIMITS,
    }


def plain_entry(address, state="ready", zone="a"):
    """Create the registration of a server of the ``shop`` service."""
    return {
        "service": "shop",
        "addr": address,
        "zone": zone,
        "slots": 6,
        "state": state,
        "seq": 0,
    }
