"""The stored configuration: chunks under a root that changes by CAS.

The entries of a document are distributed over content-addressed chunks, so
that a change of one adapter writes only its chunk and the root, whatever
the size of the document.  Each edit carries the values that it expects to
replace: concurrent edits of different entries all succeed, and a
conflicting edit is refused.
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
ATTEMPTS_MAX = 8
HISTORY_MAX = 1000
DELTA_OPERATIONS_MAX = 50
CHANGE_BYTES_MAX = 200_000
EMPTY_CHUNK = msgpack.packb([])
EMPTY_ROOT = _records.ConfigRoot(revision=0, nonce="", chunks=())


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A change requested by an operator.

    :param operations: tuple of ``Operation``; each ``old`` is the value
        that the operator saw.
    """

    operations: tuple
    operator: str = ""
    team: str = ""


def chunk_index(section, key):
    """Compute the position of the chunk that holds an entry."""
    return zlib.crc32(f"{section}/{key}".encode()) % CHUNK_COUNT


def encode_entry(entry):
    """Encode an entry; equal entries give equal bytes."""
    return msgpack.packb(_schema.unstructure_compact(entry))


def decode_entry(section, data):
    """Decode an entry of a section.

    :raises DocumentError: if the data is not a valid entry of the section.
    """
    value = msgpack.unpackb(data)
    entry, problems = _schema.structure(value, _document.SECTIONS[section])
    if problems:
        raise exceptions.DocumentError(problems)
    return entry


def encode_chunk(rows):
    """Encode a chunk.

    :param rows: iterable of ``(section, key, entry bytes)``.
    :returns: bytes, independent of the order of the rows.
    """
    return msgpack.packb(sorted(rows))


def chunk_digest(data):
    """Compute the hash that names a chunk."""
    return hashlib.blake2b(data, digest_size=16).digest()


def encode_chunks(document, positions):
    """Encode some chunks of a document.

    :param positions: iterable of chunk positions.
    :returns: dict of position to bytes.
    """
    rows = {position: [] for position in positions}
    for section in _document.SECTIONS:
        for key, entry in getattr(document, section).items():
            chunk = rows.get(chunk_index(section, key))
            if chunk is not None:
                chunk.append((section, key, encode_entry(entry)))
    return {position: encode_chunk(chunk) for position, chunk in rows.items()}


def changed_chunks(operations):
    """Get the positions of the chunks that operations change."""
    return {chunk_index(item.section, item.key) for item in operations}


def _apply_to_digests(root, document, operations):
    """Compute all chunk hashes after operations, and the changed chunks.

    :param document: the document after the operations.
    :returns: tuple of hashes, and dict of position to encoded chunk.
    """
    positions = changed_chunks(operations)
    if not root.chunks:
        positions = range(CHUNK_COUNT)
    chunks = encode_chunks(document, positions)
    digests = list(root.chunks) or [b""] * CHUNK_COUNT
    for position, chunk in chunks.items():
        digests[position] = chunk_digest(chunk)
    return tuple(digests), chunks


def apply_delta(stored, root, mod_revision):
    """Update to a newer root by its delta, without reading the store.

    :param stored: the current ``StoredConfig``.
    :param root: a newer ``ConfigRoot``.
    :returns: a ``StoredConfig``, or None if the delta does not result in
        the chunk hashes of the root.
    """
    if root.revision != stored.root.revision + 1 or not root.delta:
        return None
    try:
        document = apply_operations(stored.document, root.delta)
    except exceptions.ColtsfootsailError:
        return None
    digests, _ = _apply_to_digests(stored.root, document, root.delta)
    if digests != root.chunks:
        return None
    return StoredConfig(document, root, mod_revision)


def replace_chunks(document, old_chunks, new_chunks):
    """Replace chunks of a document.

    Only one pair of chunks is decoded at a time, to limit the memory used.

    :param document: the document that the old chunks belong to.
    :param old_chunks: encoded chunks to remove.
    :param new_chunks: encoded chunks to add, in the same order of positions.
    :returns: a new ``Document`` that shares unchanged sections with the old.
    """
    changed = {}
    pairs = itertools.zip_longest(
        old_chunks, new_chunks, fillvalue=EMPTY_CHUNK
    )
    for old, new in pairs:
        _replace_chunk(document, changed, old, new)
    return dataclasses.replace(document, **changed)


def _decode_chunk(chunk):
    return {
        (section, key): data for section, key, data in msgpack.unpackb(chunk)
    }


def _replace_chunk(document, changed, old, new):
    old_rows, new_rows = _decode_chunk(old), _decode_chunk(new)
    for section, key in old_rows.keys() - new_rows.keys():
        _copy_section(document, changed, section).pop(key, None)
    for (section, key), data in new_rows.items():
        if old_rows.get((section, key)) != data:
            entries = _copy_section(document, changed, section)
            entries[key] = decode_entry(section, data)


def _copy_section(document, changed, section):
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
    """Get the operations that undo an accepted change."""
    return tuple(
        dataclasses.replace(operation, old=operation.new, new=operation.old)
        for operation in change.operations
    )


def apply_operations(document, operations):
    """Apply operations to a document if it holds the values they expect.

    An entry that already has the new value is accepted too.

    :param document: the document in force.
    :param operations: tuple of ``Operation``.
    :returns: the changed ``Document``, not yet validated.
    :raises EditConflict: if an entry has neither the old nor the new value.
    """
    changed = {}
    for operation in operations:
        if operation.section not in _document.SECTIONS:
            raise exceptions.EditConflict(f"no section {operation.section!r}")
        entries = _copy_section(document, changed, operation.section)
        current = entries.get(operation.key)
        current_data = encode_entry(current) if current is not None else b""
        if current_data not in (operation.old, operation.new):
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
    """Read chunks from the store by hash.

    :returns: dict of hash to encoded chunk.
    :raises KvError: if a chunk is missing or can't be read.
    """
    unique = sorted(set(digests))
    chunks = {}
    for start in range(0, len(unique), _kv.KEYS_PER_CALL):
        part = unique[start : start + _kv.KEYS_PER_CALL]
        entries = await kv.get_many(
            [_keys.chunk(digest.hex()) for digest in part]
        )
        for digest in part:
            entry = entries.get(_keys.chunk(digest.hex()))
            if entry is None:
                raise exceptions.KvError("a configuration chunk is missing")
            chunks[digest] = entry.value
    return chunks


async def refresh(kv, stored):
    """Read the current configuration, fetching only the changed chunks.

    :param kv: a ``KvClient``.
    :param stored: the configuration read before, ``EMPTY`` at first.
    :returns: a ``StoredConfig``.
    :raises KvError: if the store can't be read.
    """
    entry = await kv.get(_keys.CONFIG_ROOT)
    if entry is None:
        return EMPTY
    root = _records.loads(entry.value, _records.ConfigRoot)
    if root == stored.root:
        return dataclasses.replace(stored, mod_revision=entry.mod_revision)
    updated = apply_delta(stored, root, entry.mod_revision)
    if updated is not None:
        return updated
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
    old_chunks = encode_chunks(stored.document, changed)
    document = replace_chunks(
        stored.document,
        [old_chunks[position] for position in changed],
        [fetched[root.chunks[position]] for position in changed],
    )
    return StoredConfig(document, root, entry.mod_revision)


async def _read_all(kv, root, mod_revision):
    document = _document.Document()
    digests = sorted(set(root.chunks))
    for start in range(0, len(digests), _kv.KEYS_PER_CALL):
        part = digests[start : start + _kv.KEYS_PER_CALL]
        chunks = await _fetch_chunks(kv, part)
        document = replace_chunks(document, [], chunks.values())
    return StoredConfig(document, root, mod_revision)


async def _put_new_chunks(kv, puts):
    for start in range(0, len(puts), CHUNKS_PER_TXN):
        await kv.txn([], puts[start : start + CHUNKS_PER_TXN])


async def _took_effect(kv, change):
    """Tell whether an attempt whose reply was lost took effect."""
    entry = await kv.get(_keys.history(change.revision))
    if entry is None:
        return False
    recorded = _records.loads(entry.value, _records.ConfigChange)
    return recorded.nonce == change.nonce


def _make_kv_operations(root, change, old_root, puts):
    unused = set(old_root.chunks) - set(root.chunks)
    oldest = change.revision - HISTORY_MAX
    deletes = [_keys.chunk(digest.hex()) for digest in sorted(unused)]
    if oldest > 0:
        deletes.append(_keys.history(oldest))
    limited = deletes[:CHUNKS_PER_TXN]
    return [
        *puts,
        *[_kv.Delete(key) for key in limited],
        _kv.Put(_keys.CONFIG_ROOT, _records.dumps(root)),
        _kv.Put(_keys.history(change.revision), _encode_change(change)),
    ]


def _encode_change(change):
    data = _records.dumps(change)
    if len(data) <= CHANGE_BYTES_MAX:
        return data
    truncated = dataclasses.replace(change, operations=(), truncated=True)
    return _records.dumps(truncated)


async def _try_apply(kv, stored, edit, nonce, attempted):
    """Try once to store an edit.

    :param attempted: list to which the tried ``ConfigChange`` is added.
    :returns: the accepted revision, or None if another edit came first.
    """
    document = apply_operations(stored.document, edit.operations)
    problems = _document.check(document)
    if problems:
        raise exceptions.DocumentError(problems)
    digests, chunks = _apply_to_digests(stored.root, document, edit.operations)
    new_chunks = {
        digests[position]: chunk
        for position, chunk in chunks.items()
        if digests[position] not in stored.root.chunks
    }
    puts = [
        _kv.Put(_keys.chunk(digest.hex()), chunk)
        for digest, chunk in new_chunks.items()
    ]
    revision = stored.root.revision + 1
    delta = (
        edit.operations if len(edit.operations) <= DELTA_OPERATIONS_MAX else ()
    )
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
    operations = _make_kv_operations(root, change, stored.root, puts)
    attempted.append(change)
    result = await kv.txn([compare], operations)
    return revision if result.succeeded else None


async def apply(kv, edit, stored=EMPTY, nonce=""):
    """Store an edit, retrying when other edits race with it.

    :param kv: a ``KvClient``.
    :param edit: an ``Edit``.
    :param stored: a ``StoredConfig`` to start from.
    :param nonce: identifies this edit, so that a retry after a lost reply
        does not apply it twice.
    :returns: the revision that holds the edit.
    :raises EditConflict: if another edit changed an entry, or if all
        attempts were raced by other edits.
    :raises DocumentError: if the changed document is not valid.
    :raises KvError: if the store failed; whether the edit was stored is
        then unknown.
    """
    nonce = nonce or secrets.token_hex(8)
    failure = None
    attempted = []
    for _ in range(ATTEMPTS_MAX):
        try:
            stored = await refresh(kv, stored)
            for change in attempted:
                if await _took_effect(kv, change):
                    return change.revision
            revision = await _try_apply(kv, stored, edit, nonce, attempted)
        except exceptions.KvError as exc:
            failure = exc
            continue
        if revision is not None:
            return revision
    raise failure or exceptions.EditConflict("too many racing edits")


def missing_chunks(root, digests):
    """List the chunks of a root that a node with other chunks lacks.

    :param digests: tuple of the hashes that the node has, maybe empty.
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
    :returns: a ``StoredConfig``.
    :raises WireError: if a chunk is missing or does not match its hash.
    """
    for position in missing_chunks(root, stored.root.chunks):
        chunk = chunks.get(position, b"")
        if chunk_digest(chunk) != root.chunks[position]:
            raise exceptions.WireError(
                "a configuration chunk does not match its hash"
            )
    old = encode_chunks(stored.document, chunks)
    old_chunks = list(old.values()) if stored.root.chunks else []
    document = replace_chunks(
        stored.document, old_chunks, list(chunks.values())
    )
    return StoredConfig(document, root, 0)


async def history(kv):
    """Read the recorded changes.

    :returns: list of ``ConfigChange``, oldest first.
    """
    snapshot = await kv.range(_keys.HISTORY)
    changes = [
        _records.loads(entry.value, _records.ConfigChange)
        for entry in snapshot.entries
    ]
    return sorted(changes, key=lambda change: change.revision)
