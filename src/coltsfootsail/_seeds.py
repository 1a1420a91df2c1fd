"""Bootstrap from a running node, for a node that can't reach the store.

A starting node asks its seed addresses for the store entries that they
hold.  These are replaced as soon as the store itself is read, except that
a configuration is only ever replaced by one with a higher version.
"""

import trio

from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _wire
from coltsfootsail import exceptions

STORE_WAIT_S = 0.3  # for the store, which usually answers sooner
RETRY_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 1.0
ENTRIES_BYTES_MAX = 67_108_864  # of all entries of a node
ENTRY_BYTES = 256  # of an entry without its key and value
BATCH_BYTES = 65_536  # of the entries of a write, but for the last one
ASKERS_MAX = 8  # that are answered at a time


async def serve_entries(messages, view, limiter):
    """Answer a ``ConfigRequest`` with all store entries as last seen.

    A node that has not read them in time has asked another one.

    :param messages: a ``MessageStream``.
    :param view: a ``DeploymentView``.
    :param limiter: a ``trio.CapacityLimiter`` of ``ASKERS_MAX``.
    :raises TooSlowError: if the node does not read.
    """
    async with limiter:
        with trio.fail_after(ANSWER_TIMEOUT_S):
            for batch in _batches(view.entries()):
                await messages.send_many(map(_to_message, batch))
            await messages.send(_wire.ConfigEnd(b""))


def _batches(entries):
    batch = []
    size_bytes = 0
    for entry in entries:
        batch.append(entry)
        size_bytes += len(entry.key) + len(entry.value)
        if size_bytes >= BATCH_BYTES:
            yield batch
            batch = []
            size_bytes = 0
    yield batch


def _to_message(entry):
    return _wire.ViewEntry(entry.key, entry.value, entry.mod_revision)


async def fetch_entries(network, address):
    """Get the store entries that a node holds.

    :param address: the node's peer address.
    :returns: list of ``Entry``.
    :raises OSError: if the node can't be reached or the connection fails.
    :raises WireError: if the node sends an unexpected message.
    """
    stream = await network.open_stream(address)
    async with stream:
        messages = _wire.MessageStream(stream)
        await messages.send(_wire.ConfigRequest(()))
        entries = []
        size_bytes = 0
        while True:
            msg = await messages.receive()
            if isinstance(msg, _wire.ConfigEnd):
                return entries
            if not isinstance(msg, _wire.ViewEntry):
                raise exceptions.WireError("expected a store entry")
            size_bytes += ENTRY_BYTES + len(msg.key) + len(msg.value)
            if size_bytes > ENTRIES_BYTES_MAX:
                raise exceptions.WireError("too many store entries")
            entries.append(
                _kv.Entry(msg.key, msg.value, msg.revision, msg.revision, 0)
            )


async def bootstrap(network, addresses, view):
    """Fill the view from the first seed with entries, if the store is down.

    :param addresses: peer addresses of other nodes.
    :param view: the ``DeploymentView`` to fill.
    """
    with trio.move_on_after(STORE_WAIT_S):
        await view.synced.wait()
    while addresses and not view.populated.is_set():
        for address in addresses:
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    entries = await fetch_entries(network, address)
            except (OSError, trio.TooSlowError, exceptions.WireError) as exc:
                _logs.state("seed_failed", address=address, why=repr(exc))
                continue
            if view.apply_peer_entries(entries):
                _logs.state("seed_used", address=address, count=len(entries))
                return
        await trio.sleep(RETRY_INTERVAL_S)
