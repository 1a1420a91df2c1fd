"""Errors in tasks that serve one request, one peer or one server.

None of them may end the process, nor what serves others.
"""

import errno
import types

import pytest
import trio

from coltsfootsail import _demo
from coltsfootsail import _engine_controller
from coltsfootsail import _follower
from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _net
from coltsfootsail import _seeds
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail.platform import messages
from coltsfootsail.standins import store
from tests import gateways


pytestmark = pytest.mark.provokes_errors


def _grant_request():
    now_s = trio.current_time()
    return _grants.GrantRequest(
        adapter="base/a1",
        version=1,
        parts=(),
        prompt_tokens=100,
        output_tokens=10,
        priority=5,
        objective_s=now_s + 2.0,
        until_s=now_s + 5.0,
    )


@pytest.mark.parametrize("is_remote", [True, False])
def test_grant_that_ends_after_its_engine_is_gone_ends_no_node(is_remote):
    # The process of the engine's owner ended ("Nursery is closed to new
    # arrivals") when a grant was returned after the engine's entry expired.
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = fleet.owner(engine)
        others = [name for name in fleet.names if name != owner]
        node = others[0] if is_remote else owner
        client = fleet.gateways[node].grant_client
        request = _grant_request()
        async with client.acquire(owner, engine.name, request) as use:
            fleet.store.drop(f"servers/{engine.name}")
            while engine.name in fleet.gateways[owner].claims.held:
                await trio.sleep(0.1)
            await trio.sleep(1.0)
            use.outcome = _grants.GrantOutcome.UNREACHABLE
        await trio.sleep(1.0)
        for name in fleet.names:
            assert (await fleet.call("/orders/1", name)).status == 200

    gateways.run(scenario)


def _close_at_once(owned, name):
    """Start the controller of an engine and stop it before it has run."""
    held = owned._claims.held
    claim = held.pop(name)
    owned.sync_with_claims()
    held[name] = claim
    owned.sync_with_claims()
    del held[name]
    owned.sync_with_claims()
    held[name] = claim


def test_claim_that_is_lost_at_once_ends_no_node():
    # The task of a new controller looked its scope up when the scope had
    # gone already: KeyError, or the scope of the controller after it.
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = fleet.owner(engine)
        _close_at_once(fleet.gateways[owner].owned_engines, engine.name)
        await trio.sleep(2.0)
        reply = await fleet.call("/notes/1", owner, adapter="base/a1")
        assert reply.status == 200

    gateways.run(scenario, engines=1)


def test_error_as_an_engine_is_given_up_ends_no_node(monkeypatch):
    # An error that a controller raised while it was cancelled came in a group
    # with the cancellation, was not caught and ended the process.
    async def fail_in_the_end():
        try:
            await trio.sleep_forever()
        finally:
            raise ZeroDivisionError

    async def scenario(fleet):
        monkeypatch.setattr(
            _engine_controller.EngineController,
            "_run_orders",
            lambda controller: fail_in_the_end(),
        )
        engine = fleet.engines[0]
        await fleet.start_gateway(fleet.owner(engine))
        await trio.sleep(8.0)
        gateway = fleet.gateways[fleet.owner(engine)]
        fleet.store.drop(f"servers/{engine.name}")
        await trio.sleep(3.0)
        assert not gateway.owned_engines.controllers
        assert gateway.metrics.counter_total("task_errors", "server") == 1
        for name in fleet.names:
            assert (await fleet.call("/orders/1", name)).status == 200

    gateways.run(scenario, engines=1)


@pytest.mark.parametrize("starts", [1, 2])
def test_limited_server_that_leaves_at_once_ends_no_node(starts):
    # As above, for the controllers of plain servers that name a limit.
    async def scenario(fleet):
        limited = fleet.gateways["g0"].limited_servers
        names = fleet.gateways["g0"].view.servers
        for _ in range(starts):
            assert limited.controller("i-s0") is not None
            limited.keep(names.keys() - {"i-s0"})
        assert limited.controller("i-s0") is not None
        await trio.sleep(1.0)
        assert (await fleet.call("/orders/1")).status == 200

    gateways.run(scenario)


def test_error_in_the_control_of_a_limited_server_ends_no_node(monkeypatch):
    # An error in the loop of one server's controller ended the process.
    async def scenario(fleet):
        fleet.shop_servers[0].limit = "50"
        fleet.shop_servers[1].limit = "50"
        for number in range(4):
            await fleet.call("/orders/1", request_id=f"a{number}")
        gateway = next(
            gateway
            for gateway in fleet.gateways.values()
            if gateway.limited_servers._table.by_name
        )
        controllers = dict(gateway.limited_servers._table.by_name)
        for controller in controllers.values():
            monkeypatch.setattr(
                controller.queue, "next_decision_s", lambda now_s: 1 / 0
            )
        await trio.sleep(3.0)
        counted = gateway.metrics.counter_total("task_errors", "server")
        assert counted == len(controllers)
        for number in range(4):
            reply = await fleet.call("/orders/1", request_id=f"b{number}")
            assert reply.status == 200

    gateways.run(scenario)


def _make_context():
    meta = types.SimpleNamespace(request_id="r1")
    return types.SimpleNamespace(meta=meta, crash_checked=None)


def _raise(*args, **kwargs):
    raise ZeroDivisionError


@pytest.mark.parametrize(
    "start",
    [
        lambda gateway, server: gateway.reach.note_sent(server.name),
        lambda gateway, server: gateway.crashes.interrupted(
            server, _make_context()
        ),
        lambda gateway, server: gateway.peers._on_server_check(
            "g1", _wire.ServerCheck(1, server.name)
        ),
    ],
    ids=["silence", "crash", "peer"],
)
def test_error_in_the_check_of_a_server_ends_no_node(start, monkeypatch):
    # An error in a task that served one server or request ended the process.
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        monkeypatch.setattr(gateway.crash_checks, "_is_accepting", _raise)
        start(gateway, gateway.view.servers["i-s0"])
        await trio.sleep(2.0)
        assert gateway.metrics.counter_totals()["task_errors"]
        assert (await fleet.call("/orders/1")).status == 200

    gateways.run(scenario)


def test_error_in_the_answer_of_a_seed_ends_no_node(monkeypatch):
    # An error in what a peer sent to a starting node ended that node.
    async def scenario(fleet):
        with monkeypatch.context() as patch:
            patch.setattr(_seeds, "fetch_entries", _raise)
            fleet.store.faults["store-g1:1"] = store.StoreFault.DOWN
            await fleet.start_gateway("g1")
            await trio.sleep(1.0)
        fleet.store.faults.clear()
        await trio.sleep(5.0)
        gateway = fleet.gateways["g1"]
        assert gateway.metrics.counter_total("task_errors", "peer") == 1
        assert (await fleet.call("/orders/1", "g1")).status == 200

    gateways.run(scenario)


def test_check_for_a_peer_that_links_while_the_node_starts_is_made_later():
    # The listeners run before the peers' tasks: a check that a peer asked
    # for in between ended the starting process.
    async def scenario(fleet):
        gateway = fleet.make_gateway("g2")
        gateway.peers._on_server_check("g0", _wire.ServerCheck(1, "i-s0"))
        asked = []

        async def answer(msg):
            asked.append(msg.server)

        gateway.crash_checks.answer = answer
        with trio.move_on_after(0.5):
            await gateway.peers.run()
        assert asked == ["i-s0"]
        gateway.peers._on_server_check("g0", _wire.ServerCheck(2, "i-s0"))
        assert asked == ["i-s0"]

    gateways.run(scenario)


LARGE_PARTS = "aa:99999999999999999999999,bb:200"


def _prompt(parts):
    return (
        (messages.MODEL, "base/a1"),
        (messages.TOKENS, "400,80"),
        (messages.PROMPT_PREFIX, parts),
    )


def test_request_that_no_message_can_hold_ends_no_node():
    # A token count of 2^64 or more ended the process that asked another one
    # for a grant: OverflowError as the message was encoded.
    async def scenario(fleet):
        owner = fleet.owner(fleet.engines[0])
        node = next(name for name in fleet.names if name != owner)
        for number in range(3):
            await fleet.call(
                "/notes/1",
                node,
                request_id=f"large{number}",
                headers=_prompt(LARGE_PARTS),
            )
        await trio.sleep(3.0)
        for name in fleet.names:
            reply = await fleet.call("/notes/1", name, adapter="base/a2")
            assert reply.status == 200

    gateways.run(scenario, engines=1)


@pytest.mark.parametrize("dials", [True, False])
def test_error_in_the_handling_of_a_message_ends_only_its_link(
    monkeypatch, dials
):
    # An error in the handling of one peer's message ended the process.
    async def scenario(fleet):
        node, peer = ("g0", "g1") if dials else ("g1", "g0")
        gateway = fleet.gateways[node]
        with monkeypatch.context() as patch:
            patch.setattr(gateway.states, "learn_leaving", _raise)
            message = _wire.ServerLeaving("i-e0")
            assert fleet.gateways[peer].mesh.send(node, message)
            # Either node may have dialled again by the end of this time.
            with trio.fail_after(0.1):
                while peer in gateway.mesh.linked_nodes():
                    await trio.sleep(0.001)
        await trio.sleep(3.0)
        assert peer in gateway.mesh.linked_nodes()
        assert gateway.metrics.counter_total("task_errors", "peer") == 1
        assert (await fleet.call("/orders/1", node)).status == 200

    gateways.run(scenario)


LOST_MESSAGES = {
    "grant_client.handle_reply": _wire.GrantReply(
        1, True, 0.0, "", 0.0, "", 0
    ),
    "claims.released": _wire.Released("i-e0", 1, 0.0),
    "states.learn_busy": _wire.ServerBusy("i-e0", 0.1),
    "stream_origins.learn": _wire.StreamBegun("r1", "engines", "v1"),
    "stream_origins.answer": _wire.StreamQuery(1, "r1", "engines"),
    "stream_origins.handle_reply": _wire.StreamReply(1, True, "engines", "v1"),
    "peer_proofs.answer": _wire.FreshnessQuery(1),
    "crash_checks.handle_reply": _wire.ServerCheckReply(1, "crashed"),
    "retry_loans.answer": _wire.RetryRequest(1, "shop"),
    "retry_loans.handle_reply": _wire.RetryReply(1, False),
}


@pytest.mark.parametrize("step", LOST_MESSAGES)
def test_error_in_a_message_that_is_not_told_again_ends_no_link(
    monkeypatch, step
):
    # All grants of the peer ended with the link.
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        drops = []
        path, _, name = step.partition(".")
        with monkeypatch.context() as patch:
            patch.setattr(getattr(gateway, path), name, _raise)
            patch.setattr(gateway.grant_client, "drop_node", drops.append)
            peer = fleet.gateways["g1"].mesh
            assert peer.send("g0", LOST_MESSAGES[step])
            await trio.sleep(0.1)
        assert not drops
        assert gateway.metrics.counter_total("task_errors", "peer") == 1

    gateways.run(scenario)


@pytest.mark.parametrize("end", ["up", "down"])
def test_error_as_a_link_begins_or_ends_ends_no_node(monkeypatch, end):
    # As above, in the callbacks of a link's begin and end.
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        with monkeypatch.context() as patch:
            if end == "up":
                patch.setattr(gateway.quotas, "note_link", _raise)
            else:
                patch.setattr(gateway.quotas, "drop_node", _raise)
            fleet.net.break_between("g0", "g1")
            await trio.sleep(2.0)
        fleet.net.break_between("g0", "g1")
        await trio.sleep(3.0)
        assert gateway.mesh.linked_nodes() == ["g1"]
        assert (await fleet.call("/orders/1")).status == 200

    gateways.run(scenario)


@pytest.mark.parametrize("port", [81, 82, 83])
def test_error_in_a_connection_ends_only_that_connection(monkeypatch, port):
    # An error in the service of one connection of a peer, an operator or a
    # caller that asks for addresses ended the process.
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        monkeypatch.setattr(gateway.view, "entries", _raise)
        monkeypatch.setattr(gateway.metrics, "render", _raise)
        monkeypatch.setattr(gateway._pages, "addresses", _raise)
        network = fleet.net.network("caller")
        async with await network.open_stream(f"g0:{port}") as stream:
            if port == 81:
                peer = _wire.MessageStream(stream)
                await peer.send(_wire.ConfigRequest(()))
            else:
                path = {82: "/metrics", 83: "/v1/resolve?name=x"}[port]
                head = f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"
                await stream.send_all(head.encode())
            answer = await stream.receive_some(4096)
            assert answer.startswith(b"" if port == 81 else b"HTTP/1.1 500")
            assert not answer or await stream.receive_some(4096) == b""
        monkeypatch.undo()
        assert gateway.metrics.counter_totals()["task_errors"]
        assert (await fleet.call("/orders/1")).status == 200

    gateways.run(scenario)


async def _greet_twice(handle):
    """Open two connections to a listener, and read what each is sent."""
    network = _net.tcp_network()
    results = []
    async with trio.open_nursery() as nursery:
        address = await nursery.start(network.serve, "127.0.0.1:0", handle)
        for _ in range(2):
            async with await network.open_stream(address) as stream:
                results.append(await stream.receive_some(10))
        nursery.cancel_scope.cancel()
    return results


@pytest.mark.parametrize(
    "number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EPERM]
)
def test_error_of_one_new_connection_ends_no_listener(monkeypatch, number):
    # accept() reports errors of the new connection, such as a reset before
    # it was accepted, which ended the listener and the process.
    accept = trio.SocketListener.accept
    failures = [OSError(number, "accept"), OSError(number, "accept")]

    async def accept_later(listener):
        if failures:
            await trio.lowlevel.checkpoint()
            raise failures.pop()
        return await accept(listener)

    async def handle(stream):
        await stream.send_all(b"hello")

    monkeypatch.setattr(trio.SocketListener, "accept", accept_later)
    results = trio.run(_greet_twice, handle)
    assert results == [b"hello", b"hello"]


@pytest.mark.parametrize(
    "address", ["a..b:80", f"{'x' * 70}.example:80", "1.2.3.4", "\0:80"]
)
def test_address_that_no_connection_can_have_is_an_error_of_the_network(
    address,
):
    # The address of one registered server raised UnicodeError, which ended
    # every process that tried whether it reaches that server.
    async def main():
        with pytest.raises(OSError):
            await _net.tcp_network().open_stream(address)

    trio.run(main)


@pytest.mark.parametrize("listener", ["peer", "admin", "caller"])
def test_error_in_a_connection_of_an_owner_ends_only_that_connection(
    virtual, system, monkeypatch, listener
):
    # As above, in the nodes of the product's own kind.
    embedded = system()

    async def main():
        async with embedded.running():
            host = next(iter(embedded.hosts))
            node = embedded.nodes[host]
            address = getattr(node.settings.node, f"{listener}_address")
            network = embedded.net.network("caller")
            with monkeypatch.context() as patch:
                patch.setattr(_follower, "serve", _raise)
                patch.setattr(_http, "serve_connection", _raise)
                async with await network.open_stream(address) as stream:
                    peer = _wire.MessageStream(stream)
                    await peer.send(_wire.ConfigRequest(()))
                    assert await stream.receive_some(100) == b""
            assert node.metrics.counter_totals()["task_errors"]
            assert not (await _demo.send_sample(embedded)).wrong

    virtual(main)


@pytest.mark.parametrize("work", ["_load_next", "_poll_report"])
def test_error_in_the_work_for_one_engine_ends_no_owner(
    virtual, system, monkeypatch, work
):
    # An error in a loop of one engine's owner ended the process.
    embedded = system()

    async def main():
        async with embedded.running():
            node = embedded.nodes[next(iter(embedded.hosts))]
            (_, owner), *_ = node.owners.items()
            with monkeypatch.context() as patch:
                patch.setattr(owner, work, _raise)
                owner._loader_wakeup.set()
                await trio.sleep(10.0)
            assert node.metrics.counter_totals()["task_errors"]
            assert not (await _demo.send_sample(embedded)).wrong

    virtual(main)


@pytest.mark.parametrize(
    "step",
    [
        "check_grantable",
        "uncached_tokens",
        "enqueue",
        "run_admission",
    ],
)
def test_error_of_an_owner_refuses_one_request_and_keeps_other_grants(
    monkeypatch, step
):
    # The link ended with all grants, and the owner kept the failed request.
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = fleet.gateways[fleet.owner(engine)]
        node = next(n for n in fleet.names if n != fleet.owner(engine))
        controller = owner.owned_engines.controllers[engine.name]
        running = controller.queue.running
        client = fleet.gateways[node].grant_client
        owner_name = fleet.owner(engine)
        async with client.acquire(owner_name, engine.name, _grant_request()):
            request = _grant_request()
            with monkeypatch.context() as patch, trio.fail_after(1.0):
                patch.setattr(controller, step, _raise)
                with pytest.raises(exceptions.TurnedAway) as caught:
                    async with client.acquire(
                        owner_name, engine.name, request
                    ):
                        pass
            assert caught.value.reason == _grants.OWNER_FAILED
            assert len(running) == 1 and not controller._replies
        await trio.sleep(0.5)
        assert not running and not controller.queue.waiting
        for name in fleet.names:
            reply = await fleet.call("/notes/1", name, adapter="base/a1")
            assert reply.status == 200

    gateways.run(scenario, engines=1)


@pytest.mark.parametrize("is_remote", [True, False])
@pytest.mark.parametrize("step", ["_record_grant", "_prefix_cache.record"])
def test_decision_that_failed_is_not_waited_for(monkeypatch, step, is_remote):
    # The request waited for its deadline.
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = fleet.owner(engine)
        others = [name for name in fleet.names if name != owner]
        node = others[0] if is_remote else owner
        controller = fleet.gateways[owner].owned_engines.controllers[
            engine.name
        ]
        *path, method = step.split(".")
        broken = getattr(controller, path[0]) if path else controller
        client = fleet.gateways[node].grant_client
        with monkeypatch.context() as patch, trio.fail_after(1.0):
            patch.setattr(broken, method, _raise)
            # The adapter is loaded before the decision.
            grant = client.acquire(owner, engine.name, _grant_request())
            with pytest.raises(exceptions.TurnedAway):
                async with grant:
                    pass
        assert not controller.queue.running and not controller._replies
        await trio.sleep(0.5)
        for name in fleet.names:
            reply = await fleet.call("/notes/1", name, adapter="base/a1")
            assert reply.status == 200

    gateways.run(scenario, engines=1)


@pytest.mark.parametrize("is_remote", [True, False])
@pytest.mark.parametrize("step", ["note_adapter_absent", "_speeds.note_run"])
def test_error_as_a_grant_is_given_back_ends_nothing_else(
    monkeypatch, step, is_remote
):
    # The answer was lost at the owner; elsewhere the link ended.
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = fleet.owner(engine)
        others = [name for name in fleet.names if name != owner]
        node = others[0] if is_remote else owner
        gateway = fleet.gateways[owner]
        controller = gateway.owned_engines.controllers[engine.name]
        *path, method = step.split(".")
        broken = getattr(controller, path[0]) if path else controller
        ended = []
        monkeypatch.setattr(gateway.quotas, "drop_node", ended.append)
        monkeypatch.setattr(broken, method, _raise)
        client = fleet.gateways[node].grant_client
        request = _grant_request()
        async with client.acquire(owner, engine.name, request) as use:
            use.outcome = _grants.GrantOutcome.ABSENT
        await trio.sleep(0.1)
        assert not ended and not controller.queue.running

    gateways.run(scenario, engines=1)
