"""The capacity bench of gateways: cost of each item of control work.

The costs are those of the gateways' real modules.  ``_capacity`` makes
the tables of docs/CAPACITY.md from the result.
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

ADAPTERS_PER_ENGINE = 8
CALLS_PER_ROUND = 2000


def make_server_entry(number, revision=1):
    """Make the registration entry of an engine with loaded adapters.

    :param revision: revision and sequence number of the entry.
    """
    adapters = [
        f"a{number * 8 + slot}@1" for slot in range(ADAPTERS_PER_ENGINE)
    ]
    value = {
        "service": "engines",
        "addr": f"10.1.{number // 250}.{number % 250}:8080",
        "zone": f"dc-{number % 9}",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldLeftMs": 0,
        "stage": "both",
        "models": [{"name": "base-1", "version": 1, "adapters": adapters}],
        "seq": revision,
    }
    key = f"{registry.SERVER_PREFIX}i-{number:08x}"
    return _kv.Entry(key, json.dumps(value).encode(), 1, revision, 0)


def _apply_configuration(view):
    """Give a view a configuration with one service of engines."""
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


def _make_view():
    view = _view.DeploymentView(None, lambda: 0.0, lambda changed: None)
    return _apply_configuration(view)


def _make_view_of_servers(count):
    view = _make_view()
    for number in range(count):
        view.apply_entry(make_server_entry(number))
    return view


def _make_view_of_claims(count):
    view = _make_view()
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


def _make_grant_messages():
    parts = (("5c1e07a2", 210), ("91bd3f06", 140), ("e4402b7d", 1110))
    grant_ask = _wire.GrantRequest(
        7, "i-7f3a91c2", "base-1/a1234", 0, parts, 1460, 171, 2, 0.9, 14.0
    )
    return (
        grant_ask,
        _wire.GrantReply(7, True, 0.0, "", 0.1),
        _wire.GrantEnd(7, str(_grants.GrantOutcome.DONE)),
    )


def _grant_message_bytes():
    overhead_bytes = _bench_capacity.TCP_IP_BYTES
    return sum(
        len(_wire.encode(msg)) + overhead_bytes
        for msg in _make_grant_messages()
    )


def _grant_us():
    """Measure granting one request at the engine's owner.

    This is the admission queue, the decision and the encoding of the three
    messages.
    """
    engine = _fleet.EngineSpec(64, 120000, 17, 3, 70000.0, ())
    adapter_slots = _adapter_slots.AdapterSlots(
        engine, lambda adapter, now_s: 0.0
    )
    adapter_slots.sequence = 0
    adapter_slots.models = ("base-1",)
    adapter_slots.note_load("base-1/a1234", 1, 0.0)
    admission = _admission.AdmissionQueue(64, 120000)
    messages = _make_grant_messages()

    def call(number):
        now_s = 10.0 + number
        for msg in messages:
            _wire.encode(msg)
        admission.add(
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
        admission.decide(
            now_s,
            lambda key, version: adapter_slots.ready(key, version, now_s),
        )
        admission.withdraw(number)

    return _bench_capacity.cpu_us_per_call(call, CALLS_PER_ROUND)


def _server_event_us():
    """Measure taking one changed entry of an engine."""
    view = _make_view_of_servers(300)
    entries = [make_server_entry(number, 2) for number in range(300)]
    return _bench_capacity.cpu_us_per_call(
        lambda number: view.apply_entry(entries[number % 300]), CALLS_PER_ROUND
    )


def _vacancy_scan_us():
    """Measure the scan for engines without an owner, per engine."""
    points = []
    for count in (300, 600, 1200, 2400):
        view = _make_view_of_servers(count)
        points.append(
            (
                count,
                _bench_capacity.cpu_us_per_call(
                    lambda number, view=view: view.engine_servers(), 20
                ),
            )
        )
    return _bench_capacity.fit_line(points)[0]


def _homes_us():
    """Measure ranking 675 engines for an adapter not ranked before."""
    names = tuple(f"10.1.{n // 250}.{n % 250}:8080" for n in range(675))
    return _bench_capacity.cpu_us_per_call(
        lambda number: _placement.rendezvous_ranking(
            f"base-1/x{number}", names, 4
        ),
        20,
    )


def run():
    """Run the bench.

    :returns: plain data; times in microseconds of CPU time, sizes in bytes.
    """
    sizes = (250, 500, 1000, 2000)
    entry = make_server_entry(7)
    return {
        "gateway_memory_bytes": {
            "server": _bench_capacity.memory_slope(
                _make_view_of_servers, sizes
            ),
            "claim_and_holder": _bench_capacity.memory_slope(
                _make_view_of_claims, sizes
            ),
        },
        "gateway_cpu_us": {
            "server_event": _server_event_us(),
            "grant": _grant_us(),
            "scan_per_engine": _vacancy_scan_us(),
            "homes_of_675": _homes_us(),
        },
        "gateway_message_bytes": {
            "server_event": len(entry.value) * 4 // 3 + 120,
            "grant": _grant_message_bytes(),
        },
    }
