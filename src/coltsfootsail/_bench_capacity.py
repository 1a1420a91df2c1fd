"""The capacity bench: slopes of memory, CPU and bytes, by real modules.

Each slope is a least-squares fit over ``SIZES``; counts and bytes are
exact.  docs/CAPACITY.md is made from the result by ``_capacity``.
"""

import gc
import json
import os
import statistics
import time
import tracemalloc

import trio
import trio.testing

from coltsfootsail import _cluster
from coltsfootsail import _config
from coltsfootsail import _document
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _mesh
from coltsfootsail import _ownership
from coltsfootsail import _placement
from coltsfootsail import _policy
from coltsfootsail import _popularity
from coltsfootsail import _records
from coltsfootsail import _residency
from coltsfootsail import _routing
from coltsfootsail import _scheduler
from coltsfootsail import _wire
from coltsfootsail.standins import network as memory

SIZES = (500, 1000, 2000, 4000)
ROUNDS = 3
TCP_IP_BYTES = 52
REPEATS = 2000
LOADS = (("engine-0001", 3), ("engine-0002", 4), ("engine-0003", 5))


def fit(points):
    """Fit a line through points.

    :param points: list of ``(size, value)``.
    :returns: tuple of slope and intercept.
    """
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def _memory_slope(build, sizes=SIZES):
    """Fit the bytes held by ``build(size)`` to the size."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        held = build(size)
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del held
    return fit(points)[0]


def _cpu_us(act, repeats=REPEATS):
    """Measure the CPU time of one call; the best of a few rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(repeats):
            act(number)
        best = min(best, time.process_time() - started)
    return best / repeats * 1e6


# -- what is built ------------------------------------------------------


def _adapters(count):
    return {
        f"adapter-{number:05d}": _document.Adapter(
            base="base-small", versions=("v1", "v2"), pin="v2", team="team"
        )
        for number in range(count)
    }


def _endpoints(count):
    kind = _document.EndpointKind.ENGINE
    return {
        f"engine-{number:04d}": _document.Endpoint(
            kind=kind,
            address=f"10.0.{number // 250}.{number % 250}:8000",
            data_centre=f"dc-{number % 9}",
            host=f"host-{number:04d}",
            base=f"base-{number % 5}",
            slots=8,
            batch=16,
        )
        for number in range(count)
    }


def _stored(document):
    """A document as a node holds it: decoded from its chunks in turn."""
    chunks = (
        _config.encode_chunks(document, [position])[position]
        for position in range(_config.CHUNK_COUNT)
    )
    return _config.replace_chunks(_document.Document(), [], chunks)


def _stored_adapters(count):
    return _stored(_document.Document(adapters=_adapters(count)))


def _stored_endpoints(count):
    return _stored(_document.Document(endpoints=_endpoints(count)))


def _member(number):
    return _records.Member(
        node=f"entry-{number:03d}",
        incarnation="0123456789ab",
        region="region-1",
        data_centre=f"dc-{number % 9}",
        caller_address=f"10.1.{number // 250}.{number % 250}:8080",
        peer_address=f"10.1.{number // 250}.{number % 250}:8090",
        admin_address=f"10.1.{number // 250}.{number % 250}:8081",
        lease=1_000_000 + number,
    )


def _view(members, claims=0):
    """A cluster view as a node holds it."""
    cluster = _cluster.ClusterView()
    entries = [
        _kv.Entry(
            _keys.member(f"entry-{number:03d}"),
            _records.dumps(_member(number)),
            number,
            number,
            0,
        )
        for number in range(members)
    ]
    for number in range(claims):
        claim = _records.Claim(f"entry-{number % 330:03d}", "0123456789ab")
        holder = _records.Holder(claim.node, claim.incarnation)
        for key, record in (
            (_keys.claim(f"engine-{number:04d}"), claim),
            (
                _keys.intent(f"engine-{number:04d}"),
                _records.Intent((holder,)),
            ),
        ):
            data = _records.dumps(record)
            entries.append(_kv.Entry(key, data, number, number, 0))
    cluster.reset(_kv.Snapshot(tuple(entries), 10**6))
    return cluster


def _residency_rows(count):
    table = _residency.ResidencyTable()
    for number in range(count):
        table.apply(_residency_message(number))
    return table


def _residency_message(number, changed=8):
    added = tuple(
        f"adapter-{(number * 8 + slot) % 50000:05d}@v2"
        for slot in range(changed)
    )
    return _wire.Residency(f"engine-{number:04d}", added, (), True, False)


def _popular(count):
    table = _popularity.Popularity()
    for number in range(count):
        table.add(f"adapter-{number:05d}@v2", float(number))
    return table


def _memory():
    return {
        "adapter": _memory_slope(_stored_adapters),
        "endpoint_entry": _memory_slope(_stored_endpoints),
        "member": _memory_slope(_view, (100, 200, 300, 400)),
        "claim": _memory_slope(lambda count: _view(1, count)),
        "residency_row": _memory_slope(_residency_rows),
        "popularity_row": _memory_slope(_popular),
        "peer_link": _link_bytes(),
    }


# -- links --------------------------------------------------------------


def _events(sink):
    return _mesh.LinkCallbacks(
        on_message=lambda node, msg: sink.append(msg),
        on_link_up=lambda node: None,
        on_link_down=lambda node: None,
        make_heartbeat=lambda told: _wire.Heartbeat(1000, True, LOADS),
        on_heartbeat=lambda node, msg: None,
    )


async def _mesh_of(count, length_s, sink):
    """One node with links to ``count`` peers, in virtual time."""
    net = memory.MemoryNetwork()

    async def serve_peer(mesh, stream):
        messages = _wire.MessageStream(stream)
        hello = await messages.receive()
        await mesh.serve(messages, hello)

    async with trio.open_nursery() as nursery:
        peers = {}
        for number in range(count):
            name = f"peer-{number:03d}"
            hello = _wire.Hello(name, "r", "1")
            mesh = _mesh.Mesh(hello, net.network(name), _events(sink))

            async def handler(stream, mesh=mesh):
                await serve_peer(mesh, stream)

            serve = net.network(name).serve
            await nursery.start(serve, f"{name}:1", handler)
            peers[name] = f"{name}:1"
        hello = _wire.Hello("me", "r", "1")
        mesh = _mesh.Mesh(hello, net.network("me"), _events(sink))
        nursery.start_soon(mesh.run, lambda: peers, lambda: True)
        await trio.sleep(length_s)
        nursery.cancel_scope.cancel()


def _run_mesh(count, length_s):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_mesh_of, count, length_s, [], clock=clock)


def _link_bytes():
    """Fit the memory of links to their number; both ends are held."""
    points = []
    for count in (10, 20, 40, 80):
        gc.collect()
        tracemalloc.start()
        _run_mesh(count, 5.0)
        points.append((count, tracemalloc.get_traced_memory()[1]))
        tracemalloc.stop()
    return fit(points)[0] / 2


def _heartbeat_us():
    """Measure the CPU of sending and receiving one heartbeat each.

    Both ends of each link run here, so a beat of a link is two sent and
    two received; the memory network's cost is in it.
    """
    points = []
    for count in (10, 20, 40, 80):
        started = time.process_time()
        _run_mesh(count, 5.0)
        middle = time.process_time()
        _run_mesh(count, 65.0)
        spent_s = (time.process_time() - middle) - (middle - started)
        near_s = min(2.0, max(0.5, 0.025 * count))
        beats = 60.0 * count * (1 / near_s + 1 / 0.5)
        points.append((beats, spent_s))
    return fit(points)[0] * 1e6


# -- CPU ----------------------------------------------------------------


def _placement_us(endpoints):
    names = tuple(f"engine-{number:04d}" for number in range(endpoints))
    _placement.rendezvous_ranking.cache_clear()

    def look(name):
        residence = _placement.Residence.EVICTION
        return _placement.Candidate(name, residence, 0.5)

    def act(number):
        _placement.rank_endpoints(
            f"adapter-{number % 500:05d}@v2", names, look
        )

    for number in range(500):
        act(number)
    return _cpu_us(act)


def _cold_placement_us(endpoints):
    names = tuple(f"engine-{number:04d}" for number in range(endpoints))

    def act(number):
        _placement.rendezvous_ranking(
            f"cold-{time.perf_counter_ns()}-{number}", names
        )

    return _cpu_us(act, 20)


def _schedule_us():
    table = _popular(4000)
    scheduler = _scheduler.EndpointScheduler(
        8, 16, _policy.make_rules(table.rate)
    )
    for number in range(8):
        scheduler.begin_load(f"adapter-{number:05d}@v2", 0.0)
        scheduler.loaded(f"adapter-{number:05d}@v2", 0.0)

    def act(number):
        adapter = f"adapter-{number % 8:05d}@v2"
        ticket = _scheduler.Ticket(number, adapter, 0, True, 1.0)
        scheduler.submit(ticket)
        started = scheduler.next_start(1.0)
        scheduler.next_load(1.0)
        scheduler.finish(started, 1.0)

    return _cpu_us(act)


def _config_change_us(adapters):
    """Follow one change by its delta, as a node does on a watch event."""
    document = _document.Document(adapters=_adapters(adapters))
    every = range(_config.CHUNK_COUNT)
    chunks = _config.encode_chunks(document, every)
    digests = tuple(
        _config.chunk_digest(chunks[position]) for position in every
    )
    root = _records.ConfigRoot(1, "", digests)
    stored = _config.StoredConfig(document, root, 1)
    old = document.adapters["adapter-00001"]
    new = _document.Adapter(old.base, old.versions, "v1", team=old.team)
    delta = (_config.make_operation("adapters", "adapter-00001", old, new),)
    merged = _config.apply_operations(document, delta)
    position = _config.chunk_index("adapters", "adapter-00001")
    chunk = _config.encode_chunks(merged, [position])[position]
    changed = list(digests)
    changed[position] = _config.chunk_digest(chunk)
    after = _records.ConfigRoot(2, "", tuple(changed), delta)
    data = _records.dumps(after)

    def act(number):
        root = _records.loads(data, _records.ConfigRoot)
        followed = _config.apply_delta(stored, root, 2)
        _routing.Router(followed.document)

    return _cpu_us(act, 5), len(data)


def _claims_scan_us(endpoints):
    """One round of the ownership loop over the region's endpoints."""
    cluster = _view(83, endpoints)
    document = _document.Document(endpoints=_endpoints(endpoints))
    identity = _ownership.Identity("entry-000", "x", "region-1", "dc-0")
    ownership = _ownership.Ownership(
        identity,
        None,
        cluster,
        None,
        lambda: document,
        lambda node, run: -1.0,
        lambda: 0.0,
        lambda counter, reason: None,
    )
    return _cpu_us(lambda number: ownership.claimable_endpoints(), 5)


def _cpu():
    table = _residency_rows(500)
    messages = [_residency_message(number, 1) for number in range(500)]
    data = [_wire.encode(msg) for msg in messages]
    sizes = (2000, 4000, 8000, 16000)
    config = [(size, _config_change_us(size)[0]) for size in sizes]
    scan = [(size, _claims_scan_us(size)) for size in (150, 300, 600, 1200)]
    return {
        "heartbeat": _heartbeat_us(),
        "residency_change": _cpu_us(
            lambda number: table.apply(messages[number % 500])
        ),
        "residency_encode": _cpu_us(
            lambda number: _wire.encode(messages[number % 500])
        ),
        "residency_bytes": statistics.fmean(map(len, data)),
        "placement_11_endpoints": _placement_us(11),
        "placement_675_endpoints": _placement_us(675),
        "cold_placement_675_endpoints": _cold_placement_us(675),
        "schedule": _schedule_us(),
        "config_change_per_adapter": fit(config)[0],
        "config_change_fixed": fit(config)[1],
        "claims_scan_per_endpoint": fit(scan)[0],
        "popularity_add": _cpu_us(lambda number: _popular_add(number % 500)),
    }


_TABLE = _popularity.Popularity()


def _popular_add(number):
    _TABLE.add(f"adapter-{number:05d}@v2", 1.0)


def _bytes():
    member = _records.dumps(_member(1))
    claim = _records.dumps(_records.Claim("entry-001", "0123456789ab"))
    holder = _records.Holder("entry-001", "0123456789ab")
    heartbeat = _wire.encode(_wire.Heartbeat(100_000, True, LOADS))
    _, root_bytes = _config_change_us(1000)
    return {
        "heartbeat": len(heartbeat) + TCP_IP_BYTES,
        "residency_change": len(_wire.encode(_residency_message(1, 1))),
        "member": len(member),
        "claim": len(claim),
        "intent": len(_records.dumps(_records.Intent((holder,)))),
        "config_root": root_bytes,
        "permit_ask": len(
            _wire.encode(_wire.PermitRequest("entry-001/12345", 0, 1.5))
        )
        + TCP_IP_BYTES,
    }


def resident_mb():
    """Read this process's resident memory, in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def whole_state():
    """Hold the state of a node at target size.

    :returns: list that keeps it alive.
    """
    return [
        _stored_adapters(50_000),
        _stored_endpoints(2_700),
        _view(330, 675),
        _residency_rows(675),
        _popular(4_100),
    ]


def run():
    """Measure everything.

    :returns: plain data; times in microseconds, sizes in bytes.
    """
    return {
        "memory_bytes": _memory(),
        "cpu_us": _cpu(),
        "message_bytes": _bytes(),
    }


def lines(result):
    """Render the result for people."""
    for part, rows in result.items():
        for name, value in rows.items():
            yield f"{part:14} {name:30} {value:12.3f}"


def to_json(result):
    """Render the result for programs."""
    return json.dumps(result, sort_keys=True, indent=1)
