"""The formats of the users' platform, and its store by a stand-in."""

import dataclasses
import json

import hypothesis
from hypothesis import strategies
import msgpack
import pytest
import trio
import trio.testing

from coltsfootsail import _fleet
from coltsfootsail import _http
from coltsfootsail import _kv
from coltsfootsail import exceptions
from coltsfootsail import platform
from coltsfootsail.platform import engines
from coltsfootsail.platform import messages
from coltsfootsail.platform import registry
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import store as stores
from tests import gateways


def entry(key, value):
    """Make a store entry from bytes or plain data."""
    if not isinstance(value, bytes):
        value = json.dumps(value).encode()
    return _kv.Entry(key, value, 7, 9, 0)


SERVER = {
    "service": "engines",
    "addr": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a3@2", "a4"]}],
    "seq": 4,
}


def test_configuration_is_decoded():
    value = gateways.configuration(7)
    value["routes"][0]["split"] = [
        {"service": "engines", "weight": 90},
        {"service": "shop", "weight": 10},
    ]
    del value["routes"][0]["service"]
    deployment = registry.decode_deployment(json.dumps(value).encode())
    assert deployment.version == 7
    assert [t.service for t in deployment.routes[0].targets] == [
        "engines",
        "shop",
    ]
    kinds = [route.kind.value for route in deployment.routes]
    assert kinds == ["streaming", "streaming", "mutating", "idempotent"]
    assert [r.repeatable for r in deployment.routes] == [
        False,
        True,
        False,
        True,
    ]
    assert deployment.routes[0].timeout_s == 15.0
    assert deployment.services["engines"].engine.adapter_slots == 3
    assert deployment.services["shop"].engine is None
    assert deployment.limits.idle_timeout_s == 15.0


def test_server_is_decoded():
    server = registry.decode_server(entry("servers/i-1", SERVER))
    assert (server.name, server.service) == ("i-1", "engines")
    assert server.adapters == {"m/a3": 2, "m/a4": 1}
    assert server.models == ("m",)
    assert not server.draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": None, "addr": None, "state": "odd"},
        {"state": 7},
        {"models": 5},
        {"models": [{"adapters": []}]},
        {"slots": "many"},
    ],
)
def test_invalid_server_is_refused(change):
    with pytest.raises(exceptions.BadField):
        registry.decode_server(entry("servers/i-1", {**SERVER, **change}))


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_are_decoded_or_refused(data):
    for decode in (
        registry.decode_deployment,
        registry.decode_adapter_version,
    ):
        with pytest.raises(exceptions.BadField):
            decode(data)
    with pytest.raises(exceptions.BadField):
        registry.decode_server(entry("servers/i-1", data))


ODD_VALUES = (
    *(2**64, 10**400, -1, 1e300, 1e999, float("nan"), 0.5),
    *("\ud800", "a\nb", "", "v1", "10.0.0.1:0", "10.0.0.1:99999"),
    *(True, None, [], [[[]]], {}, ["a@" + "9" * 30], [{"name": "\ud800"}]),
    [{"name": "m", "adapters": ["a\ud800@1"]}],
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*SERVER, "version", "born", "coldLeftMs"]),
        strategies.sampled_from(ODD_VALUES),
        max_size=3,
    )
)
def test_odd_server_is_refused_or_fits_into_messages_and_headers(change):
    try:
        server = registry.decode_server(
            entry("servers/i-1", {**SERVER, **change})
        )
    except exceptions.BadField:
        return
    msgpack.packb(dataclasses.astuple(server))
    assert server.software.isprintable()


def test_adapter_version_is_decoded():
    value = json.dumps({"model": "m", "adapter": "a3", "version": 5}).encode()
    assert registry.decode_adapter_version(value) == ("m/a3", 5)


def test_order_for_a_base_model_has_no_adapter_field():
    order = engines.Order(True, "m/a3", 2, "n1", 41, 5)
    assert json.loads(engines.encode_order(order)) == {
        "op": "load",
        "model": "m",
        "adapter": "a3",
        "expected": 2,
        "holder": "n1",
        "fence": 41,
        "version": 5,
    }
    base = engines.Order(False, "m", 2, "n1", 41)
    assert "adapter" not in json.loads(engines.encode_order(base))


def test_report_is_decoded():
    report = engines.decode_report(
        {
            "models": SERVER["models"],
            "seq": 12,
            "busy": True,
            "pending": ["m/a9@3"],
        }
    )
    assert report.sequence == 12 and report.busy
    assert report.pending == ("m/a9",)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["models", "seq", "pending", "busy"]),
        strategies.none() | strategies.integers() | strategies.text(),
    )
)
def test_any_report_is_decoded_or_refused(value):
    try:
        engines.decode_report(value)
    except exceptions.BadField as exc:
        assert exc.outcome is exceptions.Outcome.NOT_RUN


def request(*headers):
    return _http.HttpRequest("POST", "/x/1", headers, b"")


def test_request_headers_are_read():
    metadata = messages.read_metadata(
        request(
            (messages.REQUEST_ID, "9c41"),
            (messages.DEADLINE, "15000"),
            (messages.MODEL, "m/a3"),
            (messages.TOKENS, "1460,80"),
            (messages.LENGTH_HINT, "60"),
            (messages.PROMPT_PREFIX, "5c:800,91:410,e4:250"),
        )
    )
    assert metadata.deadline_s == 15.0
    assert metadata.prompt == messages.Prompt(
        "m",
        "m/a3",
        1460,
        80,
        (("5c", 800), ("91", 410), ("e4", 250)),
        expected_tokens=60,
    )


@hypothesis.given(strategies.text(max_size=30), strategies.text(max_size=30))
def test_any_headers_are_read(first, second):
    metadata = messages.read_metadata(
        request(
            (messages.DEADLINE, first),
            (messages.MODEL, "m"),
            (messages.TOKENS, second),
            (messages.PROMPT_PREFIX, first),
        )
    )
    assert metadata.prompt.prompt_tokens >= 0


def test_forwarded_headers_state_deadline_and_expected_server():
    server = registry.decode_server(entry("servers/i-1", SERVER))
    headers = dict(
        messages.forward_headers(
            (
                ("host", "h"),
                ("connection", "keep-alive, x-one"),
                ("x-one", "1"),
                ("x-two", "2"),
                ("content-length", "5"),
                (messages.DEADLINE, "9000"),
                (messages.EXPECT_INSTANCE, "i-other"),
            ),
            server,
            1.25,
            priority=12,
            version=3,
            last_event="4",
        )
    )
    assert headers == {
        "host": "h",
        "x-two": "2",
        messages.DEADLINE: "1250",
        messages.EXPECT_INSTANCE: "i-1",
        messages.PRIORITY: "9",
        messages.EXPECT_VERSION: "3",
        messages.LAST_EVENT: "4",
    }


def test_keep_alive_time_is_read():
    class Exchange:
        def header(self, name):
            return "timeout=5, max=9" if name == "keep-alive" else ""

    assert messages.keep_alive_s(Exchange()) == 5.0


def run_with_store(scenario):
    """Run ``async (client, stand_in)`` against a store in virtual time."""

    async def main():
        net = memory.MemoryNetwork()
        stand_in = stores.StoreStandIn()
        async with trio.open_nursery() as nursery:
            network = net.network("store")
            await nursery.start(
                network.serve,
                "store:1",
                stand_in.connection_handler("store:1"),
            )
            client = platform.StoreClient(
                _http.HttpClient(net.network("n1")), "store:1"
            )
            await scenario(client, stand_in)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


def test_store_txn_succeeds_only_at_the_expected_revision():
    async def scenario(client, stand_in):
        compare = _kv.Compare("a", "mod", 0)
        first = await client.txn([compare], [_kv.Put("a", b"1")])
        assert first.succeeded
        assert not (
            await client.txn([compare], [_kv.Put("a", b"2")])
        ).succeeded
        stored = await client.get("a")
        assert (stored.value, stored.mod_revision) == (b"1", first.revision)

    run_with_store(scenario)


def test_store_range_reads_all_pages():
    async def scenario(client, stand_in):
        for number in range(1203):
            stand_in.put(f"p/{number:05d}", b"x")
        stand_in.put("q", b"y")
        snapshot = await client.range("p/")
        assert len(snapshot.entries) == 1203

    run_with_store(scenario)


def test_store_watch_continues_from_its_revision():
    async def scenario(client, stand_in):
        at = stand_in.revision
        events, after = await client.changes("", at, 1.0)
        assert events == [] and after == at
        stand_in.put("a", b"1")
        stand_in.drop("a")
        events, after = await client.changes("", at, 1.0)
        assert [event.deleted for event in events] == [False, True]
        stand_in.forget_history()
        with pytest.raises(exceptions.KvHistoryGone):
            await client.changes("", at, 1.0)

    run_with_store(scenario)


def test_store_watch_skips_no_change_at_the_end_of_its_wait():
    async def scenario(client, stand_in):
        for _ in range(20):
            at = stand_in.revision

            async def put():
                await trio.sleep(1.0)
                stand_in.put("a", b"1")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(put)
                events, after = await client.changes("", at, 1.0)
            assert events or after == at

    run_with_store(scenario)


def test_expired_store_lease_deletes_its_keys():
    async def scenario(client, stand_in):
        lease = await client.lease_grant(3)
        await client.txn([], [_kv.Put("a", b"1", lease)])
        await trio.sleep(2.0)
        assert await client.lease_keepalive(lease) == 3
        await trio.sleep(3.1)
        assert await client.lease_keepalive(lease) == 0
        assert await client.get("a") is None

    run_with_store(scenario)


@pytest.mark.parametrize(
    "fault", [stores.StoreFault.DOWN, stores.StoreFault.SILENT]
)
def test_failed_store_raises_kv_error(fault):
    async def scenario(client, stand_in):
        stand_in.faults["store:1"] = fault
        with pytest.raises(exceptions.KvError):
            await client.txn([], [_kv.Put("a", b"1")])
        with pytest.raises(exceptions.KvError):
            await client.range("")

    run_with_store(scenario)


def test_write_is_applied_when_its_reply_is_lost():
    async def scenario(client, stand_in):
        stand_in.faults["store:1"] = stores.StoreFault.LOST_REPLY
        with pytest.raises(exceptions.KvError):
            await client.txn([], [_kv.Put("a", b"1")])
        assert stand_in.value("a") == b"1"

    run_with_store(scenario)


def test_adapter_keys_join_model_and_name():
    assert _fleet.adapter_key("m", "a1") == "m/a1"
    assert _fleet.adapter_key("m", "") == "m"
