"""Functions for the common tasks of a client, without a session.

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
    """Get the addresses to use for a model.

    :param address: the caller address of any node.
    :returns: a ``Route``.
    """
    return trio.run(sessions.Session(address).route, model)


def complete(address, model, prompt, max_tokens=64):
    """Get the whole text of a completion.

    :param address: the caller address of any node.
    :returns: the text.
    :raises ColtsfootsailError: the error that the node reports.
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
    """Get the status of a node.

    :returns: a dict.
    """
    session = sessions.Session(admin_address=admin_address, token=token)
    return trio.run(session.status)
