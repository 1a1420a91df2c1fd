"""What a node that starts without the store learns from a running one.

Everything learned is replaced as soon as the store itself was read; the
configuration keeps to its rule that only higher versions are taken.
"""

import trio

from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _wire
from coltsfootsail import exceptions

PATIENCE_S = 0.3  # the store usually answers sooner
RETRY_S = 0.5
ANSWER_TIMEOUT_S = 1.0


async def serve(messages, view):
    """Answer a ``ConfigRequest`` with all entries as last seen.

    :param messages: a ``MessageStream``.
    :param view: a ``View``.
    """
    known = [
        _wire.ViewEntry(entry.key, entry.value, entry.mod_revision)
        for entry in view.entries()
    ]
    await messages.send_many((*known, _wire.ConfigEnd(b"")))


async def ask(network, address):
    """Ask a node for its entries.

    :returns: list of ``Entry``.
    :raises OSError: if it can't be reached or breaks off.
    :raises WireError: if it sends something else.
    """
    stream = await network.open_stream(address)
    async with stream:
        messages = _wire.MessageStream(stream)
        await messages.send(_wire.ConfigRequest(()))
        found = []
        while True:
            msg = await messages.receive()
            if isinstance(msg, _wire.ConfigEnd):
                return found
            if not isinstance(msg, _wire.ViewEntry):
                raise exceptions.WireError("not an entry")
            found.append(
                _kv.Entry(msg.key, msg.value, msg.revision, msg.revision, 0)
            )


async def run(network, addresses, view):
    """Learn from the first seed that knows something, if the store is away.

    :param addresses: peer addresses of other nodes.
    :param view: the ``View`` to fill.
    """
    with trio.move_on_after(PATIENCE_S):
        await view.synced.wait()
    while addresses and not view.known.is_set():
        for address in addresses:
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    entries = await ask(network, address)
            except (OSError, trio.TooSlowError, exceptions.WireError) as exc:
                _logs.state("seed_failed", address=address, why=repr(exc))
                continue
            if view.learn(entries):
                _logs.state("seed_used", address=address, count=len(entries))
                return
        await trio.sleep(RETRY_S)
