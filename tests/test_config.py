"""Tests for the stored configuration and for document validation.

They cover racing edits, lost replies and the cost of a change.
"""

import dataclasses

import pytest
import trio

from coltsfootsail import _config
from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions
from coltsfootsail.standins import kv as standin
from coltsfootsail.standins import network as memory

ADDRESS = "kv:1"
FAULTS = standin.KvFault


def _adapter(pin="v1"):
    return _document.Adapter(base="b", versions=("v1", "v2"), pin=pin)


def _make_document(count):
    adapters = {f"a-{number:05d}": _adapter() for number in range(count)}
    return _document.Document(adapters=adapters)


def _set_pin(document, name, pin):
    old = document.adapters[name]
    new = dataclasses.replace(old, pin=pin)
    return (_config.make_operation("adapters", name, old, new),)


@pytest.fixture
def run_with_store(virtual):
    """Run a test function with a KV client and a stored document."""

    def run(main, count=20):
        async def body():
            net = memory.MemoryNetwork()
            service = standin.KvStandIn()
            client = _http.HttpClient(net.network("operator"))
            kv = _kv.KvClient(client, [ADDRESS])
            async with trio.open_nursery() as nursery:
                serve = net.network("kv").serve
                await nursery.start(serve, ADDRESS, service.serve)
                document = _make_document(count)
                operations = _config.difference(_document.Document(), document)
                await _config.apply(kv, _config.Edit(operations))
                await main(kv, service)
                nursery.cancel_scope.cancel()

        virtual(body)

    return run


def test_applied_document_is_read_back(run_with_store):
    async def main(kv, service):
        stored = await _config.refresh(kv, _config.EMPTY)
        assert stored.document == _make_document(300)
        assert stored.root.revision == 1

    run_with_store(main, 300)


def test_racing_edits_of_different_entries_all_succeed(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        revisions = []

        async def edit(name):
            operations = _set_pin(base.document, name, "v2")
            edit = _config.Edit(operations, team=name)
            revisions.append(await _config.apply(kv, edit, base))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(edit, f"a-{number:05d}")
        assert sorted(revisions) == [2, 3, 4, 5, 6, 7]
        current = await _config.refresh(kv, base)
        pins = [current.document.adapters[f"a-{n:05d}"].pin for n in range(7)]
        assert pins == ["v2"] * 6 + ["v1"]

    run_with_store(main)


def test_conflicting_edit_raises_edit_conflict(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        first = _set_pin(base.document, "a-00001", "v2")
        await _config.apply(kv, _config.Edit(first), base)
        old = base.document.adapters["a-00001"]
        deletion = _config.make_operation("adapters", "a-00001", old, None)
        with pytest.raises(exceptions.EditConflict, match="a-00001"):
            await _config.apply(kv, _config.Edit((deletion,)), base)
        current = await _config.refresh(kv, base)
        assert current.document.adapters["a-00001"].pin == "v2"

    run_with_store(main)


def test_edit_that_makes_the_document_invalid_is_refused(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        rule = _document.Rule(match="x", target="a-00001@v9")
        operation = _config.make_operation("rules", "r", None, rule)
        with pytest.raises(exceptions.DocumentError) as caught:
            await _config.apply(kv, _config.Edit((operation,)), base)
        assert caught.value.problems[0].path == "rules.r.target"
        assert (await _config.refresh(kv, base)).root.revision == 1

    run_with_store(main)


def test_edit_whose_reply_is_lost_is_applied_once(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        operations = _set_pin(base.document, "a-00001", "v2")
        service.set_fault(FAULTS.LOST_REPLY)
        revision = await _config.apply(kv, _config.Edit(operations), base)
        service.set_fault(FAULTS.NONE)
        assert revision == 2
        assert (await _config.refresh(kv, base)).root.revision == 2

    run_with_store(main)


def test_edit_with_lost_reply_is_found_after_a_later_edit(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        operations = _set_pin(base.document, "a-00001", "v2")
        real_txn = kv.txn
        lost_replies = []

        async def lose_first_reply(compares, puts):
            result = await real_txn(compares, puts)
            if not lost_replies and compares:
                lost_replies.append(result)
                kv.txn = real_txn
                other = _set_pin(base.document, "a-00001", "v2")
                undo = _config.undo(
                    _records.ConfigChange(0, "", "", "", "", other)
                )
                await _config.apply(kv, _config.Edit(undo))
                raise exceptions.KvError("reply lost")
            return result

        kv.txn = lose_first_reply
        revision = await _config.apply(kv, _config.Edit(operations), base)
        assert revision == 2
        current = await _config.refresh(kv, base)
        assert current.root.revision == 3
        assert current.document.adapters["a-00001"].pin == "v1"

    run_with_store(main)


def test_changing_one_adapter_writes_only_its_chunk(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        sizes = {}
        real_txn = kv.txn

        async def record_sizes(compares, operations):
            for put in operations:
                if isinstance(put, _kv.Put):
                    sizes[put.key] = len(put.value)
            return await real_txn(compares, operations)

        kv.txn = record_sizes
        operations = _set_pin(base.document, "a-00001", "v2")
        await _config.apply(kv, _config.Edit(operations), base)
        chunks = [key for key in sizes if key.startswith(_keys.CHUNKS)]
        assert len(chunks) == 1
        assert sum(sizes.values()) < 32_768
        calls_before = service.calls["kv/range"] + service.calls["kv/txn"]
        entry = await kv.get(_keys.CONFIG_ROOT)
        root = _records.loads(entry.value, _records.ConfigRoot)
        updated = _config.apply_delta(base, root, 0)
        assert updated.document.adapters["a-00001"].pin == "v2"
        calls_after = service.calls["kv/range"] + service.calls["kv/txn"]
        assert calls_after - calls_before == 1

    run_with_store(main, 5000)


def test_edit_can_start_from_a_configuration_updated_by_delta(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        first = _set_pin(base.document, "a-00001", "v2")
        await _config.apply(kv, _config.Edit(first), base)
        entry = await kv.get(_keys.CONFIG_ROOT)
        root = _records.loads(entry.value, _records.ConfigRoot)
        updated = _config.apply_delta(base, root, 0)
        second = _set_pin(updated.document, "a-00002", "v2")
        edit = _config.Edit(second)
        assert await _config.apply(kv, edit, updated) == 3

    run_with_store(main)


def test_delta_that_does_not_match_the_root_is_not_applied(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        operations = _set_pin(base.document, "a-00001", "v2")
        wrong = dataclasses.replace(base.root, revision=2, delta=operations)
        assert _config.apply_delta(base, wrong, 0) is None
        skipped = dataclasses.replace(wrong, revision=3)
        assert _config.apply_delta(base, skipped, 0) is None

    run_with_store(main)


def test_history_records_the_author_and_undo_reverts_the_change(
    run_with_store,
):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        operations = _set_pin(base.document, "a-00001", "v2")
        edit = _config.Edit(operations, operator="op", team="catalogue")
        await _config.apply(kv, edit, base)
        change = (await _config.history(kv))[-1]
        assert (change.operator, change.team) == ("op", "catalogue")
        revision = await _config.apply(kv, _config.Edit(_config.undo(change)))
        assert revision == 3
        current = await _config.refresh(kv, base)
        assert current.document == base.document

    run_with_store(main)


def test_chunks_from_a_peer_must_match_their_hashes(run_with_store):
    async def main(kv, service):
        base = await _config.refresh(kv, _config.EMPTY)
        positions = _config.missing_chunks(base.root, ())
        chunks = _config.encode_chunks(base.document, positions)
        assembled = _config.assemble(_config.EMPTY, base.root, chunks)
        assert assembled.document == base.document
        chunks[positions[0]] = _config.encode_chunk([])
        chunks[positions[1]] = _config.encode_chunk([])
        with pytest.raises(exceptions.WireError):
            _config.assemble(_config.EMPTY, base.root, chunks)

    run_with_store(main, 2000)


BAD_DOCUMENTS = [
    (
        '[adapters.a]\nbase="b"\nversions=["v1"]\npin="v2"',
        "adapters.a.pin",
    ),
    ('[adapters.A]\nbase="b"\nversions=["v1"]\npin="v1"', "adapters.A"),
    (
        '[adapters.a]\nbase="b"\nversions=["v1"]\npin="v1"\nteam="t"',
        "adapters.a.team",
    ),
    (
        '[adapters.a]\nbase="b"\nversions=["v1"]\npin="v1"\npriority="x"',
        "adapters.a.priority",
    ),
    ('[rules.r]\nmatch="x"\ntarget="none"', "rules.r.target"),
    ('[rules.r]\nmatch="x"\ntarget="x"', "rules.r.target"),
    (
        '[rules.r]\nmatch="x"\ntarget="y"\n[rules.s]\nmatch="y"\ntarget="x"',
        "rules.s.target",
    ),
    (
        '[adapters.a]\nbase="b"\nversions=["v1"]\npin="v1"\n'
        '[rules.r]\nmatch="a*"\ntarget="a@v1"\norder=1\n'
        '[rules.s]\nmatch="ab"\ntarget="a@v1"\norder=2',
        "rules.s.match",
    ),
    ('[services.s]\nprefix="x"', "services.s.prefix"),
    ('[services.s]\nprefix="/v1/x"', "services.s.prefix"),
    (
        '[endpoints.e]\nkind="engine"\naddress="h:1"\ndata_centre="d"\n'
        'host="h"\nbatch=1',
        "endpoints.e.slots",
    ),
    (
        '[endpoints.e]\nkind="service"\naddress="h:1"\ndata_centre="d"\n'
        'host="h"',
        "endpoints.e.service",
    ),
    ('[drains.d]\nkind="endpoint"\nname="none"', "drains.d.name"),
    ('[drains.d]\nkind="rack"\nname="x"', "drains.d.kind"),
    ("[limits.default]\nqueue_max=0", "limits.default.queue_max"),
    ("[limits.other]\nqueue_max=1", "limits.other"),
    ("[classes.c]\nrank=1\nmax_wait_s=0.0", "classes.c.max_wait_s"),
    ("[teams.t]\nsecret=1", "teams.t.secret"),
    ("x", "(file)"),
]


@pytest.mark.parametrize(("text", "path"), BAD_DOCUMENTS)
def test_each_mistake_in_a_document_is_reported_with_its_path(text, path):
    with pytest.raises(exceptions.DocumentError) as caught:
        _document.loads(text)
    assert path in [problem.path for problem in caught.value.problems]


def test_all_mistakes_are_reported_together():
    text = "\n".join(row[0] for row in BAD_DOCUMENTS[8:9])
    text += '\n[drains.d]\nkind="endpoint"\nname="none"'
    text += "\n[limits.default]\nqueue_max=0"
    with pytest.raises(exceptions.DocumentError) as caught:
        _document.loads(text)
    assert len(caught.value.problems) == 3
