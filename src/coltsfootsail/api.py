"""One-call functions for the usual needs of a client.

Usage::

    import coltsfootsail

    text = coltsfootsail.complete(
        "127.0.0.1:8080", "gift-note-0001", "For a grandmother."
    )
"""

import contextlib

import trio

from coltsfootsail import sessions


def route(address, model=""):
    """Ask which addresses to use for a model.

    :param address: any node's caller address.
    :returns: a ``Route``.
    """
    return trio.run(sessions.Session(address).route, model)


def complete(address, model, prompt, max_tokens=64):
    """Get a whole completion.

    :param address: any node's caller address.
    :returns: the text.
    :raises ColtsfootsailError: as the node reports it.
    """

    async def collect():
        session = sessions.Session(address)
        parts = []
        events = session.complete(model, prompt, max_tokens)
        async with contextlib.aclosing(events):
            async for event in events:
                parts.append(event.text)
        return "".join(parts)

    return trio.run(collect)


def status(admin_address, token=""):
    """Get a node's status.

    :returns: a dict.
    """
    session = sessions.Session(admin_address=admin_address, token=token)
    return trio.run(session.status)
