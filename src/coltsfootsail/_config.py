"""The stored configuration: chunks under a root that changes by CAS.

A document is split by entry into content-addressed chunks, so that one
changed adapter costs its chunk and the root, whatever the size of the
document.  Edits carry the values they expect to replace: disjoint edits
by racing teams both land, and a conflicting one is refused.
"""

import dataclasses
import datetime
import hashlib
import itertools
import secrets
import zlib

import msgpack

from coltsfootsail import _document
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import _schema
from coltsfootsail import exceptions

CHUNK_COUNT = 256
CHUNKS_PER_TXN = 32
ATTEMPTS = 8
HISTORY_MAX = 1000
DELTA_MAX = 50
CHANGE_BYTES_MAX = 200_000
EMPTY_CHUNK = msgpack.packb([])
EMPTY_ROOT = _records.ConfigRoot(revision=0, nonce="", chunks=())


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A change wanted by an operator.

    :param operations: tuple of ``Operation``; each ``old`` is the value
        that the operator saw.
    """

    operations: tuple
    operator: str = ""
    team: str = ""


def chunk_index(section, key):
    """Tell which chunk holds an entry."""
    return zlib.crc32(f"{section}/{key}".encode()) % CHUNK_COUNT


def encode_entry(entry):
    """Encode an entry; the same entry always gives the same bytes."""
    return msgpack.packb(_schema.unstructure_compact(entry))


def decode_entry(section, data):
    """Decode an entry of a section.

    :raises DocumentError: if it is no such entry.
    """
    value = msgpack.unpackb(data)
    entry, problems = _schema.structure(value, _document.SECTIONS[section])
    if problems:
        raise exceptions.DocumentError(problems)
    return entry


def encode_chunk(rows):
    """Encode a chunk.

    :param rows: iterable of ``(section, key, entry bytes)``.
    :returns: bytes, the same for any order of the rows.
    """
    return msgpack.packb(sorted(rows))


def chunk_digest(data):
    """Compute the hash that names a chunk."""
    return hashlib.blake2b(data, digest_size=16).digest()


def encode_chunks(document, wanted):
    """Encode some chunks of a document.

    :param wanted: iterable of chunk positions.
    :returns: dict of position to bytes.
    """
    rows = {position: [] for position in wanted}
    for section in _document.SECTIONS:
        for key, entry in getattr(document, section).items():
            chunk = rows.get(chunk_index(section, key))
            if chunk is not None:
                chunk.append((section, key, encode_entry(entry)))
    return {position: encode_chunk(chunk) for position, chunk in rows.items()}


def touched_chunks(operations):
    """List the positions of the chunks that operations change."""
    return {chunk_index(item.section, item.key) for item in operations}


def _new_digests(root, document, operations):
    """Compute the hashes after operations, and the changed chunks."""
    wanted = touched_chunks(operations)
    if not root.chunks:
        wanted = range(CHUNK_COUNT)
    chunks = encode_chunks(document, wanted)
    digests = list(root.chunks) or [b""] * CHUNK_COUNT
    for position, chunk in chunks.items():
        digests[position] = chunk_digest(chunk)
    return tuple(digests), chunks


def apply_delta(stored, root, mod_revision):
    """Follow a root by its delta, without reading the store.

    :param stored: the ``Stored`` held.
    :param root: a newer ``ConfigRoot``.
    :returns: a ``Stored``, or None if the delta does not lead there.
    """
    if root.revision != stored.root.revision + 1 or not root.delta:
        return None
    try:
        document = apply_operations(stored.document, root.delta)
    except exceptions.ColtsfootsailError:
        return None
    digests, _ = _new_digests(stored.root, document, root.delta)
    if digests != root.chunks:
        return None
    return StoredConfig(document, root, mod_revision)


def replace_chunks(document, old_chunks, new_chunks):
    """Replace chunks of a document.

    :param document: the document the old chunks belong to.
    :param old_chunks: encoded chunks to take out.
    :param new_chunks: encoded chunks to put in, in the same order of
        positions; one after the other is held decoded.
    :returns: a new ``Document``; sections not touched are shared.
    """
    changed = {}
    pairs = itertools.zip_longest(
        old_chunks, new_chunks, fillvalue=EMPTY_CHUNK
    )
    for old, new in pairs:
        _replace_chunk(document, changed, old, new)
    return dataclasses.replace(document, **changed)


def _chunk_rows(chunk):
    return {
        (section, key): data for section, key, data in msgpack.unpackb(chunk)
    }


def _replace_chunk(document, changed, old, new):
    old_rows, new_rows = _chunk_rows(old), _chunk_rows(new)
    for section, key in old_rows.keys() - new_rows.keys():
        _section_copy(document, changed, section).pop(key, None)
    for (section, key), data in new_rows.items():
        if old_rows.get((section, key)) != data:
            entries = _section_copy(document, changed, section)
            entries[key] = decode_entry(section, data)


def _section_copy(document, changed, section):
    if section not in changed:
        changed[section] = dict(getattr(document, section))
    return changed[section]


def difference(old, new):
    """List the operations that turn one document into another.

    :returns: tuple of ``Operation``.
    """
    operations = []
    for section in _document.SECTIONS:
        before = getattr(old, section)
        after = getattr(new, section)
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) == after.get(key):
                continue
            operations.append(
                make_operation(section, key, before.get(key), after.get(key))
            )
    return tuple(operations)


def make_operation(section, key, old, new):
    """Build an operation from entries; None means no entry."""
    return _records.Operation(
        section=section,
        key=key,
        old=encode_entry(old) if old is not None else b"",
        new=encode_entry(new) if new is not None else b"",
    )


def undo(change):
    """List the operations that undo an accepted change."""
    return tuple(
        dataclasses.replace(operation, old=operation.new, new=operation.old)
        for operation in change.operations
    )


def apply_operations(document, operations):
    """Apply operations to a document, if it holds what they expect.

    :param document: the document in force.
    :param operations: tuple of ``Operation``.
    :returns: the changed ``Document``, not yet checked.
    :raises EditConflict: if an entry has another value than expected.
    """
    changed = {}
    for operation in operations:
        if operation.section not in _document.SECTIONS:
            raise exceptions.EditConflict(f"no section {operation.section!r}")
        entries = _section_copy(document, changed, operation.section)
        current = entries.get(operation.key)
        held = encode_entry(current) if current is not None else b""
        if held not in (operation.old, operation.new):
            path = f"{operation.section}/{operation.key}"
            raise exceptions.EditConflict(f"{path} was changed meanwhile")
        if operation.new:
            entries[operation.key] = decode_entry(
                operation.section, operation.new
            )
        else:
            entries.pop(operation.key, None)
    return dataclasses.replace(document, **changed)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfig:
    """A configuration as read from the store."""

    document: _document.Document
    root: _records.ConfigRoot
    mod_revision: int


EMPTY = StoredConfig(_document.Document(), EMPTY_ROOT, 0)


async def _fetch_chunks(kv, digests):
    """Read chunks by hash.

    :returns: dict of hash to encoded chunk.
    :raises KvError: if one is missing or can't be read.
    """
    wanted = sorted(set(digests))
    found = {}
    for start in range(0, len(wanted), _kv.KEYS_PER_CALL):
        part = wanted[start : start + _kv.KEYS_PER_CALL]
        entries = await kv.get_many(
            [_keys.chunk(digest.hex()) for digest in part]
        )
        for digest in part:
            entry = entries.get(_keys.chunk(digest.hex()))
            if entry is None:
                raise exceptions.KvError("a configuration chunk is missing")
            found[digest] = entry.value
    return found


async def refresh(kv, stored):
    """Read the configuration, fetching only chunks not yet held.

    :param kv: a ``KvClient``.
    :param stored: what is held already, ``EMPTY`` at first.
    :returns: a ``Stored``.
    :raises KvError: if the store can't be read.
    """
    entry = await kv.get(_keys.CONFIG_ROOT)
    if entry is None:
        return EMPTY
    root = _records.loads(entry.value, _records.ConfigRoot)
    if root == stored.root:
        return dataclasses.replace(stored, mod_revision=entry.mod_revision)
    advanced = apply_delta(stored, root, entry.mod_revision)
    if advanced is not None:
        return advanced
    if not stored.root.chunks:
        return await _read_all(kv, root, entry.mod_revision)
    changed = [
        position
        for position, digest in enumerate(root.chunks)
        if digest != stored.root.chunks[position]
    ]
    fetched = await _fetch_chunks(
        kv, [root.chunks[position] for position in changed]
    )
    held = encode_chunks(stored.document, changed)
    document = replace_chunks(
        stored.document,
        [held[position] for position in changed],
        [fetched[root.chunks[position]] for position in changed],
    )
    return StoredConfig(document, root, entry.mod_revision)


async def _read_all(kv, root, mod_revision):
    document = _document.Document()
    wanted = sorted(set(root.chunks))
    for start in range(0, len(wanted), _kv.KEYS_PER_CALL):
        part = wanted[start : start + _kv.KEYS_PER_CALL]
        chunks = await _fetch_chunks(kv, part)
        document = replace_chunks(document, [], chunks.values())
    return StoredConfig(document, root, mod_revision)


async def _put_new_chunks(kv, puts):
    for start in range(0, len(puts), CHUNKS_PER_TXN):
        await kv.txn([], puts[start : start + CHUNKS_PER_TXN])


async def _landed(kv, change):
    """Say whether an attempt whose reply was lost took effect."""
    entry = await kv.get(_keys.history(change.revision))
    if entry is None:
        return False
    found = _records.loads(entry.value, _records.ConfigChange)
    return found.nonce == change.nonce


def _operations_for_kv(root, change, old_root, puts):
    old = set(old_root.chunks) - set(root.chunks)
    gone = change.revision - HISTORY_MAX
    deletes = [_keys.chunk(digest.hex()) for digest in sorted(old)]
    if gone > 0:
        deletes.append(_keys.history(gone))
    few = deletes[:CHUNKS_PER_TXN]
    return [
        *puts,
        *[_kv.Delete(key) for key in few],
        _kv.Put(_keys.CONFIG_ROOT, _records.dumps(root)),
        _kv.Put(_keys.history(change.revision), _encode_change(change)),
    ]


def _encode_change(change):
    data = _records.dumps(change)
    if len(data) <= CHANGE_BYTES_MAX:
        return data
    short = dataclasses.replace(change, operations=(), truncated=True)
    return _records.dumps(short)


async def _attempt(kv, stored, edit, nonce, tried):
    """Try once; return the accepted revision, or None if raced."""
    document = apply_operations(stored.document, edit.operations)
    problems = _document.check(document)
    if problems:
        raise exceptions.DocumentError(problems)
    digests, chunks = _new_digests(stored.root, document, edit.operations)
    fresh = {
        digests[position]: chunk
        for position, chunk in chunks.items()
        if digests[position] not in stored.root.chunks
    }
    puts = [
        _kv.Put(_keys.chunk(digest.hex()), chunk)
        for digest, chunk in fresh.items()
    ]
    revision = stored.root.revision + 1
    delta = edit.operations if len(edit.operations) <= DELTA_MAX else ()
    root = _records.ConfigRoot(revision, nonce, digests, delta)
    change = _records.ConfigChange(
        revision=revision,
        nonce=nonce,
        when=datetime.datetime.now(datetime.UTC).isoformat(),
        operator=edit.operator,
        team=edit.team,
        operations=edit.operations,
    )
    if len(puts) > CHUNKS_PER_TXN:
        await _put_new_chunks(kv, puts)
        puts = []
    compare = _kv.Compare(_keys.CONFIG_ROOT, "mod", stored.mod_revision)
    operations = _operations_for_kv(root, change, stored.root, puts)
    tried.append(change)
    result = await kv.txn([compare], operations)
    return revision if result.succeeded else None


async def apply(kv, edit, stored=EMPTY, nonce=""):
    """Store an edit.

    :param kv: a ``KvClient``.
    :param edit: an ``Edit``.
    :param stored: a ``Stored`` to start from.
    :param nonce: names this edit, so that repeating it after a lost
        reply does not apply it twice.
    :returns: the revision that holds the edit.
    :raises EditConflict: if an entry was changed meanwhile.
    :raises DocumentError: if the result is not valid.
    :raises KvError: if the store failed; the outcome is unknown.
    """
    nonce = nonce or secrets.token_hex(8)
    failure = None
    tried = []
    for _ in range(ATTEMPTS):
        try:
            stored = await refresh(kv, stored)
            for change in tried:
                if await _landed(kv, change):
                    return change.revision
            revision = await _attempt(kv, stored, edit, nonce, tried)
        except exceptions.KvError as exc:
            failure = exc
            continue
        if revision is not None:
            return revision
    raise failure or exceptions.EditConflict("too many racing edits")


def missing_chunks(root, digests):
    """List the chunks that a holder of other hashes lacks.

    :param digests: tuple of hashes, empty for a holder of nothing.
    :returns: list of positions.
    """
    held = digests or (b"",) * CHUNK_COUNT
    return [
        position
        for position, digest in enumerate(root.chunks)
        if position >= len(held) or held[position] != digest
    ]


def assemble(stored, root, chunks):
    """Build a newer configuration from chunks that a peer sent.

    :param chunks: dict of position to encoded chunk.
    :returns: a ``Stored``.
    :raises WireError: if the chunks are not those of the root.
    """
    for position in missing_chunks(root, stored.root.chunks):
        chunk = chunks.get(position, b"")
        if chunk_digest(chunk) != root.chunks[position]:
            raise exceptions.WireError("a chunk does not match its hash")
    old = encode_chunks(stored.document, chunks)
    held = list(old.values()) if stored.root.chunks else []
    document = replace_chunks(stored.document, held, list(chunks.values()))
    return StoredConfig(document, root, 0)


async def history(kv):
    """Read the kept changes.

    :returns: list of ``ConfigChange``, oldest first.
    """
    snapshot = await kv.range(_keys.HISTORY)
    changes = [
        _records.loads(entry.value, _records.ConfigChange)
        for entry in snapshot.entries
    ]
    return sorted(changes, key=lambda change: change.revision)
