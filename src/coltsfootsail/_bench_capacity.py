"""The capacity bench: memory, CPU time and bytes that each item costs.

The costs are those of the project's real modules.  Costs that grow with
the number of items are the slopes of least-squares fits over several
sizes; sizes of messages and records are exact.  ``_capacity`` makes the
tables of docs/CAPACITY.md from the result.
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

FIT_SIZES = (500, 1000, 2000, 4000)
ROUNDS = 3
TCP_IP_BYTES = 52  # headers of a packet with time stamps
CALLS_PER_ROUND = 2000
HEARTBEAT_LOADS = (("engine-0001", 3), ("engine-0002", 4), ("engine-0003", 5))


def fit_line(points):
    """Fit a line to points by least squares.

    :param points: list of ``(size, value)``.
    :returns: tuple of slope and intercept.
    """
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def memory_slope(build, sizes=FIT_SIZES):
    """Measure the bytes per item in what ``build(size)`` returns.

    :param build: ``(size) -> object``.
    :param sizes: numbers of items to measure.
    :returns: slope of the bytes over the size.
    """
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        state = build(size)
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del state
    return fit_line(points)[0]


def cpu_us_per_call(call, calls=CALLS_PER_ROUND):
    """Measure the CPU time of one call, in microseconds.

    The best of ``ROUNDS`` rounds is taken, to leave out disturbances.

    :param call: ``(number of the call)``.
    :param calls: calls in a round.
    """
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for number in range(calls):
            call(number)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s / calls * 1e6


def _make_adapters(count):
    return {
        f"adapter-{number:05d}": _document.Adapter(
            base="base-small", versions=("v1", "v2"), pin="v2", team="team"
        )
        for number in range(count)
    }


def _make_endpoints(count):
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


def _decode_document(document):
    """Make the copy of a document that a node has decoded from chunks."""
    chunks = (
        _config.encode_chunks(document, [position])[position]
        for position in range(_config.CHUNK_COUNT)
    )
    return _config.replace_chunks(_document.Document(), [], chunks)


def _make_adapters_document(count):
    return _decode_document(_document.Document(adapters=_make_adapters(count)))


def _make_endpoints_document(count):
    return _decode_document(
        _document.Document(endpoints=_make_endpoints(count))
    )


def _make_member(number):
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


def _make_cluster(members, claims=0):
    """Make a node's view of the cluster."""
    cluster = _cluster.ClusterView()
    entries = [
        _kv.Entry(
            _keys.member(f"entry-{number:03d}"),
            _records.dumps(_make_member(number)),
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


def _make_residency(count):
    residency = _residency.ResidencyTable()
    for number in range(count):
        residency.apply(_make_residency_message(number))
    return residency


def _make_residency_message(number, added_count=8):
    added = tuple(
        f"adapter-{(number * 8 + slot) % 50000:05d}@v2"
        for slot in range(added_count)
    )
    return _wire.Residency(f"engine-{number:04d}", added, (), True, False)


def _make_popularity(count):
    popularity = _popularity.Popularity()
    for number in range(count):
        popularity.add(f"adapter-{number:05d}@v2", float(number))
    return popularity


def _measure_memory():
    return {
        "adapter": memory_slope(_make_adapters_document),
        "endpoint_entry": memory_slope(_make_endpoints_document),
        "member": memory_slope(_make_cluster, (100, 200, 300, 400)),
        "claim": memory_slope(lambda count: _make_cluster(1, count)),
        "residency_row": memory_slope(_make_residency),
        "popularity_row": memory_slope(_make_popularity),
        "peer_link": _link_memory_bytes(),
    }


def _mesh_events(received):
    return _mesh.LinkCallbacks(
        on_message=lambda node, msg: received.append(msg),
        on_link_up=lambda node: None,
        on_link_down=lambda node: None,
        make_heartbeat=lambda reported: _wire.Heartbeat(
            1000, True, HEARTBEAT_LOADS
        ),
        on_heartbeat=lambda node, msg: None,
    )


async def _connect_mesh(count, length_s, received):
    """Run one node with links to ``count`` peers for a time."""
    memory_network = memory.MemoryNetwork()

    async def serve_peer(mesh, stream):
        messages = _wire.MessageStream(stream)
        hello = await messages.receive()
        await mesh.serve(messages, hello)

    async with trio.open_nursery() as nursery:
        peers = {}
        for number in range(count):
            name = f"peer-{number:03d}"
            hello = _wire.Hello(name, "r", "1")
            mesh = _mesh.Mesh(
                hello, memory_network.network(name), _mesh_events(received)
            )

            async def handler(stream, mesh=mesh):
                await serve_peer(mesh, stream)

            serve = memory_network.network(name).serve
            await nursery.start(serve, f"{name}:1", handler)
            nursery.start_soon(mesh.tend_links)
            peers[name] = f"{name}:1"
        hello = _wire.Hello("me", "r", "1")
        mesh = _mesh.Mesh(
            hello, memory_network.network("me"), _mesh_events(received)
        )
        nursery.start_soon(mesh.run, lambda: peers, lambda: True)
        await trio.sleep(length_s)
        nursery.cancel_scope.cancel()


def _run_mesh(count, length_s):
    """Run one node with links to ``count`` peers in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_connect_mesh, count, length_s, [], clock=clock)


def _link_memory_bytes():
    """Measure the peak memory of one end of a link.

    Both ends of each link run in this process, hence half the slope.
    """
    points = []
    for count in (10, 20, 40, 80):
        gc.collect()
        tracemalloc.start()
        _run_mesh(count, 5.0)
        points.append((count, tracemalloc.get_traced_memory()[1]))
        tracemalloc.stop()
    return fit_line(points)[0] / 2


def _heartbeat_us():
    """Measure the CPU time to send and receive one heartbeat.

    Both ends of each link run in this process, so every heartbeat is sent
    and received here: by the node at its interval, by each peer, which
    has one link, at the shortest interval.  The cost of the in-memory
    network is included.
    """
    points = []
    for count in (10, 20, 40, 80):
        started_s = time.process_time()
        _run_mesh(count, 5.0)
        short_end_s = time.process_time()
        _run_mesh(count, 65.0)
        spent_s = (time.process_time() - short_end_s) - (
            short_end_s - started_s
        )
        node_interval_s = min(2.0, max(0.5, 0.025 * count))
        heartbeats = 60.0 * count * (1 / node_interval_s + 1 / 0.5)
        points.append((heartbeats, spent_s))
    return fit_line(points)[0] * 1e6


def _placement_us(endpoints):
    """Measure placing requests for adapters whose homes are cached."""
    names = tuple(f"engine-{number:04d}" for number in range(endpoints))
    _placement.rendezvous_ranking.cache_clear()

    def look(name):
        residence = _placement.Residence.EVICTION
        return _placement.Candidate(name, residence, 0.5)

    def call(number):
        _placement.rank_endpoints(
            f"adapter-{number % 500:05d}@v2", names, look
        )

    for number in range(500):
        call(number)
    return cpu_us_per_call(call)


def _cold_placement_us(endpoints):
    """Measure ranking the endpoints for adapters that are not cached."""
    names = tuple(f"engine-{number:04d}" for number in range(endpoints))

    def call(number):
        _placement.rendezvous_ranking(
            f"cold-{time.perf_counter_ns()}-{number}", names
        )

    return cpu_us_per_call(call, 20)


def _schedule_us():
    """Measure the scheduling of one request on a full engine."""
    popularity = _make_popularity(4000)
    scheduler = _scheduler.EndpointScheduler(
        8, 16, _policy.make_rules(popularity.rate)
    )
    for number in range(8):
        scheduler.begin_load(f"adapter-{number:05d}@v2", 0.0)
        scheduler.loaded(f"adapter-{number:05d}@v2", 0.0)

    def call(number):
        adapter = f"adapter-{number % 8:05d}@v2"
        ticket = _scheduler.Ticket(number, adapter, 0, True, 1.0)
        scheduler.submit(ticket)
        started = scheduler.next_start(1.0)
        scheduler.next_load(1.0)
        scheduler.finish(started, 1.0)

    return cpu_us_per_call(call)


def _config_change_us(adapters):
    """Measure applying one change by its delta, as on a watch event.

    :returns: tuple of microseconds and the size of the root in bytes.
    """
    document = _document.Document(adapters=_make_adapters(adapters))
    positions = range(_config.CHUNK_COUNT)
    chunks = _config.encode_chunks(document, positions)
    digests = tuple(
        _config.chunk_digest(chunks[position]) for position in positions
    )
    root = _records.ConfigRoot(1, "", digests)
    stored = _config.StoredConfig(document, root, 1)
    old = document.adapters["adapter-00001"]
    new = _document.Adapter(old.base, old.versions, "v1", team=old.team)
    delta = (_config.make_operation("adapters", "adapter-00001", old, new),)
    merged = _config.apply_operations(document, delta)
    position = _config.chunk_index("adapters", "adapter-00001")
    chunk = _config.encode_chunks(merged, [position])[position]
    new_digests = list(digests)
    new_digests[position] = _config.chunk_digest(chunk)
    new_root = _records.ConfigRoot(2, "", tuple(new_digests), delta)
    data = _records.dumps(new_root)

    def call(number):
        root = _records.loads(data, _records.ConfigRoot)
        advanced = _config.apply_delta(stored, root, 2)
        _routing.Router(advanced.document)

    return cpu_us_per_call(call, 5), len(data)


def _claims_scan_us(endpoints):
    """Measure one pass of the ownership loop over a region's endpoints."""
    cluster = _make_cluster(83, endpoints)
    document = _document.Document(endpoints=_make_endpoints(endpoints))
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
    return cpu_us_per_call(lambda number: ownership.claimable_endpoints(), 5)


def _measure_cpu():
    residency = _make_residency(500)
    messages = [_make_residency_message(number, 1) for number in range(500)]
    encoded = [_wire.encode(msg) for msg in messages]
    sizes = (2000, 4000, 8000, 16000)
    config_points = [(size, _config_change_us(size)[0]) for size in sizes]
    scan_points = [
        (size, _claims_scan_us(size)) for size in (150, 300, 600, 1200)
    ]
    return {
        "heartbeat": _heartbeat_us(),
        "residency_change": cpu_us_per_call(
            lambda number: residency.apply(messages[number % 500])
        ),
        "residency_encode": cpu_us_per_call(
            lambda number: _wire.encode(messages[number % 500])
        ),
        "residency_bytes": statistics.fmean(map(len, encoded)),
        "placement_11_endpoints": _placement_us(11),
        "placement_675_endpoints": _placement_us(675),
        "cold_placement_675_endpoints": _cold_placement_us(675),
        "schedule": _schedule_us(),
        "config_change_per_adapter": fit_line(config_points)[0],
        "config_change_fixed": fit_line(config_points)[1],
        "claims_scan_per_endpoint": fit_line(scan_points)[0],
        "popularity_add": cpu_us_per_call(
            lambda number: _add_popularity(number % 500)
        ),
    }


_POPULARITY = _popularity.Popularity()


def _add_popularity(number):
    _POPULARITY.add(f"adapter-{number:05d}@v2", 1.0)


def message_bytes():
    """Measure the sizes of messages and records, in bytes."""
    member = _records.dumps(_make_member(1))
    claim = _records.dumps(_records.Claim("entry-001", "0123456789ab"))
    holder = _records.Holder("entry-001", "0123456789ab")
    heartbeat = _wire.encode(_wire.Heartbeat(100_000, True, HEARTBEAT_LOADS))
    _, root_bytes = _config_change_us(1000)
    return {
        "heartbeat": len(heartbeat) + TCP_IP_BYTES,
        "residency_change": len(_wire.encode(_make_residency_message(1, 1))),
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
    """Return the resident memory of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def make_node_state():
    """Make the state of a node at the target size.

    :returns: list of the objects.
    """
    return [
        _make_adapters_document(50_000),
        _make_endpoints_document(2_700),
        _make_cluster(330, 675),
        _make_residency(675),
        _make_popularity(4_100),
    ]


def run():
    """Run the bench.

    :returns: plain data; times in microseconds, sizes in bytes.
    """
    return {
        "memory_bytes": _measure_memory(),
        "cpu_us": _measure_cpu(),
        "message_bytes": message_bytes(),
    }


def lines(result):
    """Render the result as text."""
    for part, rows in result.items():
        for name, value in rows.items():
            yield f"{part:14} {name:30} {value:12.3f}"


def to_json(result):
    """Render the result as JSON."""
    return json.dumps(result, sort_keys=True, indent=1)
