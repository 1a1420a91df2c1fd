"""Slopes of what a gateway spends on control, by its real modules.

Times are microseconds of processor time for one of each, sizes are bytes;
docs/CAPACITY.md is made from them.
"""

import json

from coltsfootsail import _adapter_slots
from coltsfootsail import _admission
from coltsfootsail import _bench_capacity
from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _placement
from coltsfootsail import _records
from coltsfootsail import _view
from coltsfootsail import _wire
from coltsfootsail.platform import registry

ADAPTERS_HELD = 8
REPEATS = 2000


def server_entry(number, revision=1):
    """Make the registration of an engine that holds adapters."""
    held = [f"a{number * 8 + slot}@1" for slot in range(ADAPTERS_HELD)]
    value = {
        "service": "engines",
        "addr": f"10.1.{number // 250}.{number % 250}:8080",
        "zone": f"dc-{number % 9}",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldLeftMs": 0,
        "stage": "both",
        "models": [{"name": "base-1", "version": 1, "adapters": held}],
        "seq": revision,
    }
    key = f"{registry.SERVER_PREFIX}i-{number:08x}"
    return _kv.Entry(key, json.dumps(value).encode(), 1, revision, 0)


def _configured(view):
    raw = {
        "version": 1,
        "routes": [],
        "services": [
            {
                "name": "engines",
                "engine": {"slots": 64, "kvTokens": 120000, "models": []},
            }
        ],
    }
    data = json.dumps(raw).encode()
    view.apply_deployment(registry.decode_deployment(data), data)
    return view


def _empty_view():
    view = _view.DeploymentView(None, lambda: 0.0, lambda changed: None)
    return _configured(view)


def _servers(count):
    view = _empty_view()
    for number in range(count):
        view.apply_entry(server_entry(number))
    return view


def _claims(count):
    view = _empty_view()
    for number in range(count):
        claim = _records.Claim(f"entry-{number % 330:03d}", "0123456789ab")
        holder = _records.Holder(claim.node, claim.incarnation)
        name = f"i-{number:08x}"
        for key, record in (
            (_keys.claim(name), claim),
            (_keys.intent(name), holder),
        ):
            data = _records.dumps(record)
            view.apply_entry(_kv.Entry(key, data, number, number, 0))
    return view


def _grant_messages():
    parts = (("5c1e07a2", 210), ("91bd3f06", 140), ("e4402b7d", 1110))
    ask = _wire.GrantRequest(
        7, "i-7f3a91c2", "base-1/a1234", 0, parts, 1460, 171, 2, 0.9, 14.0
    )
    return (
        ask,
        _wire.GrantReply(7, True, 0.0, "", 0.1),
        _wire.GrantEnd(7, str(_grants.GrantOutcome.DONE)),
    )


def _grant_bytes():
    framing = _bench_capacity.TCP_IP_BYTES
    return sum(len(_wire.encode(msg)) + framing for msg in _grant_messages())


def _grant_us():
    """One start at its owner: queue, decision, three messages."""
    engine = _fleet.EngineSpec(64, 120000, 17, 3, 70000.0, ())
    book = _adapter_slots.AdapterSlots(engine, lambda adapter, now_s: 0.0)
    book.sequence = 0
    book.models = ("base-1",)
    book.note_load("base-1/a1234", 1, 0.0)
    queue = _admission.AdmissionQueue(64, 120000)
    messages = _grant_messages()

    def act(number):
        now_s = 10.0 + number
        for msg in messages:
            _wire.encode(msg)
        queue.add(
            _admission.AdmissionRequest(
                number,
                "base-1/a1234",
                0,
                1000,
                1600,
                2,
                now_s,
                now_s + 1.0,
                now_s + 15.0,
            )
        )
        queue.decide(
            now_s, lambda key, version: book.ready(key, version, now_s)
        )
        queue.withdraw(number)

    return _bench_capacity._cpu_us(act, REPEATS)


def _server_event_us():
    view = _servers(300)
    entries = [server_entry(number, 2) for number in range(300)]
    return _bench_capacity._cpu_us(
        lambda number: view.apply_entry(entries[number % 300]), REPEATS
    )


def _scan_us():
    """One look over all engines for vacant ones, for each engine."""
    points = []
    for count in (300, 600, 1200, 2400):
        view = _servers(count)
        points.append(
            (
                count,
                _bench_capacity._cpu_us(
                    lambda number, view=view: view.engine_servers(), 20
                ),
            )
        )
    return _bench_capacity.fit(points)[0]


def _homes_us():
    names = tuple(f"10.1.{n // 250}.{n % 250}:8080" for n in range(675))
    return _bench_capacity._cpu_us(
        lambda number: _placement.rendezvous_ranking(
            f"base-1/x{number}", names, 4
        ),
        20,
    )


def run():
    """Measure everything.

    :returns: plain data; times in microseconds, sizes in bytes.
    """
    sizes = (250, 500, 1000, 2000)
    entry = server_entry(7)
    return {
        "gateway_memory_bytes": {
            "server": _bench_capacity._memory_slope(_servers, sizes),
            "claim_and_holder": _bench_capacity._memory_slope(_claims, sizes),
        },
        "gateway_cpu_us": {
            "server_event": _server_event_us(),
            "grant": _grant_us(),
            "scan_per_engine": _scan_us(),
            "homes_of_675": _homes_us(),
        },
        "gateway_message_bytes": {
            "server_event": len(entry.value) * 4 // 3 + 120,
            "grant": _grant_bytes(),
        },
    }
