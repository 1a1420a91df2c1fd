"""What servers say of leaving and of being busy, and who heeds it."""

import functools
import json
import logging
import math
import types

import pytest
import trio

from coltsfootsail import _server_states
from coltsfootsail.platform import engines
from coltsfootsail.platform import messages
from coltsfootsail.standins import users
from tests import gateways

DRAIN_S = 2.0
BUSY_FROM_S = 0.5  # after a refusal, when its retry time begins to bind
BUSY_REQUESTS_MAX = 2  # of one node in that time
CALLS_PER_S = 20.0
PLAIN = ("/stock/9", False)
ENGINE = ("/notes/1", True)
KINDS = pytest.mark.parametrize(
    ("path", "is_engine"), [PLAIN, ENGINE], ids=["plain", "engine"]
)


async def _send_calls(fleet, path, is_engine, duration_s, on_send=None):
    """Send calls to all nodes in turn.

    :param on_send: called with the request's id and the node.
    :returns: list of replies and the time that each took.
    """
    replies = []

    async def send(number, node):
        request_id = f"r{trio.current_time():.2f}n{number}"
        if on_send:
            on_send(request_id, node)
        extra = {"adapter": f"base/a{number % 5}"} if is_engine else {}
        begun_s = trio.current_time()
        reply = gateways.Reply(0, {}, b"", False)
        with trio.move_on_after(8.0):
            reply = await fleet.call(
                path, node, request_id=request_id, **extra
            )
        replies.append((reply, trio.current_time() - begun_s))

    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s * CALLS_PER_S)):
            node = fleet.names[number % len(fleet.names)]
            nursery.start_soon(send, number, node)
            await trio.sleep(1 / CALLS_PER_S)
    return replies


def _servers(fleet, is_engine):
    return fleet.engines if is_engine else fleet.shop_servers


def _served_share(replies):
    return sum(r.status == 200 and r.whole for r, _ in replies) / len(replies)


@KINDS
@pytest.mark.parametrize("seed", [1, 2])
def test_server_that_says_it_leaves_gets_no_new_requests(
    path, is_engine, seed
):
    async def scenario(fleet):
        leaving = _servers(fleet, is_engine)[0]
        leaving.leaving = "1"
        begun_s = trio.current_time()
        replies = await _send_calls(fleet, path, is_engine, 16.0)
        late = [at for at in leaving.arrived_s if at > begun_s + DRAIN_S + 1.0]
        assert not late
        assert _served_share(replies) >= 0.98

    gateways.run(scenario, nodes=4, seed=seed)


@KINDS
def test_registration_alone_is_enough_to_leave(path, is_engine):
    async def scenario(fleet):
        leaving = _servers(fleet, is_engine)[0]
        if is_engine:
            leaving.draining = True
            leaving.register()
        else:
            fleet.register_shop(0, "draining")
        begun_s = trio.current_time()
        await _send_calls(fleet, path, is_engine, 6.0)
        assert not [at for at in leaving.arrived_s if at > begun_s + DRAIN_S]

    gateways.run(scenario)


@KINDS
def test_other_nodes_are_told_that_a_server_leaves(path, is_engine):
    async def scenario(fleet):
        leaving, other = _servers(fleet, is_engine)
        other.busy = None
        leaving.leaving = "1"
        names = fleet.names
        fleet.names = names[:1]
        while not fleet.gateways["g0"].states.is_unavailable(leaving.name):
            await _send_calls(fleet, path, is_engine, 0.5)
        await trio.sleep(0.1)
        for name in names:
            assert fleet.gateways[name].states.is_unavailable(leaving.name)

    gateways.run(scenario, nodes=3)


def test_running_stream_of_a_leaving_engine_goes_on():
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.events, engine.event_s = 40, 0.05
        replies = []

        async def call(adapter):
            replies.append(await fleet.call("/notes/1", adapter=adapter))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "base/a7")
            await trio.sleep(1.0)
            running = next(e for e in fleet.engines if e.running)
            running.leaving = "1"
            nursery.start_soon(call, "base/a7")
            await trio.sleep(0.5)
            assert fleet.gateways["g0"].states.is_unavailable(running.name)
        assert all(reply.whole for reply in replies)
        assert running.arrivals <= 2 + 2  # once as a server, once as an engine

    gateways.run(scenario)


@KINDS
def test_new_server_at_the_address_of_one_that_left_starts_clean(
    path, is_engine
):
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        server = _servers(fleet, is_engine)[0]
        server.leaving = "1"
        await _send_calls(fleet, path, is_engine, 2.0)
        assert gateway.states.is_unavailable(server.name)
        fleet.store.drop(f"servers/{server.name}")
        server.name, server.leaving = "i-new", None
        if is_engine:
            server.register()
        else:
            fleet.store.put(
                "servers/i-new", users.plain_entry("s0:80", "ready")
            )
        await trio.sleep(3.0)
        server.arrived_s.clear()
        await _send_calls(fleet, path, is_engine, 4.0)
        assert not gateway.states.is_unavailable("i-new")
        assert server.arrived_s

    gateways.run(scenario)


def test_leaving_server_is_remembered_while_its_registration_is_gone():
    async def scenario(fleet):
        states = fleet.gateways["g0"].states
        shop = fleet.shop_servers[0]
        shop.leaving = "1"
        await _send_calls(fleet, *PLAIN, 1.0)
        fleet.store.drop("servers/i-s0")
        await trio.sleep(4.0)
        assert states.state("i-s0") is _server_states.State.GONE
        fleet.register_shop(0)
        await trio.sleep(3.0)
        assert states.state("i-s0") is _server_states.State.LEAVING

    gateways.run(scenario)


class _BusyWatch:
    """Counts what each node sends to a server that is busy.

    :param server: a ``PlainServer``.
    :param nodes: dict of request id to the node that it was sent to.
    :param owner: ``() -> str``, the node that sends it orders and reports.
    """

    def __init__(self, server, nodes, owner, busy_s):
        self._server = server
        self._owner = owner
        self._nodes = nodes
        self._busy_s = busy_s
        self._refused_s = {}
        self.counts = {}
        self.orders = {}
        handle = server._handle

        async def watch(req, resp):
            self._note(req)
            await handle(req, resp)

        server._handle = watch

    def _note(self, req):
        node = self._node(req)
        is_request = req.header(messages.REQUEST_ID) in self._nodes
        now_s = trio.current_time()
        for refused_s in self._refused_s.get(node, ()):
            if refused_s + BUSY_FROM_S < now_s < refused_s + self._busy_s:
                counts = self.counts if is_request else self.orders
                key = node, refused_s
                counts[key] = counts.get(key, 0) + 1
        # The server answers orders and reports also while it is busy.
        if is_request and self._server.busy is not None:
            self._refused_s.setdefault(node, []).append(now_s)

    def _node(self, req):
        """Get the node that sends a request, an order or a report."""
        if req.path == engines.ORDER_PATH:
            return json.loads(req.body)["holder"]
        if req.path == engines.REPORT_PATH:
            return self._owner()
        return self._nodes[req.header(messages.REQUEST_ID)]


@KINDS
@pytest.mark.parametrize("whole_service", [False, True], ids=["one", "all"])
@pytest.mark.parametrize("retry_after", ["3", "6", "0.9"])
def test_busy_server_gets_nothing_until_the_time_that_it_states(
    path, is_engine, whole_service, retry_after
):
    async def scenario(fleet):
        servers = _servers(fleet, is_engine)
        busy = servers if whole_service else servers[:1]
        if is_engine:
            await _send_calls(fleet, path, is_engine, 2.0)
        nodes = {}
        watches = [
            _BusyWatch(
                server,
                nodes,
                functools.partial(fleet.owner, server),
                float(retry_after),
            )
            for server in busy
        ]
        for server in busy:
            server.busy = retry_after
        replies = await _send_calls(
            fleet, path, is_engine, 10.0, nodes.__setitem__
        )
        for watch in watches:
            assert all(
                n <= BUSY_REQUESTS_MAX for n in watch.counts.values()
            ), watch.counts
            assert not watch.orders
        if not whole_service:
            assert _served_share(replies) >= 0.97
            return
        refused = [pair for pair in replies if pair[0].status != 200]
        assert refused
        for reply, _ in refused:
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0.0
        slow = sum(after_s > 0.3 for _, after_s in refused)
        assert slow <= 0.03 * len(refused)

    gateways.run(scenario, nodes=4)


def test_callers_of_a_busy_service_do_not_all_come_back_at_once():
    async def scenario(fleet):
        for shop in fleet.shop_servers:
            shop.busy = "4"
        await _send_calls(fleet, *PLAIN, 1.0)
        due_s = []
        for number in range(40):
            reply = await fleet.call("/stock/9", request_id=f"x{number}")
            assert reply.status == 503
            due_s.append(
                trio.current_time() + float(reply.headers["retry-after"])
            )
        assert max(due_s) - min(due_s) > 0.5
        shop_free_s = max(fleet.shop_servers[0].refused_s) + 4.0
        assert min(due_s) >= shop_free_s - 1.0

    gateways.run(scenario)


@KINDS
def test_busy_server_is_used_again_when_its_time_is_over(path, is_engine):
    async def scenario(fleet):
        busy = _servers(fleet, is_engine)[0]
        busy.busy = "2"
        await _send_calls(fleet, path, is_engine, 2.0)
        busy.busy = None
        await trio.sleep(2.0)
        busy.arrived_s.clear()
        replies = await _send_calls(fleet, path, is_engine, 6.0)
        assert busy.arrived_s
        assert _served_share(replies) == 1.0

    gateways.run(scenario)


def test_waiting_requests_leave_an_engine_that_becomes_busy():
    async def scenario(fleet):
        fleet.engines[0].busy = fleet.engines[1].busy = None
        for engine in fleet.engines:
            engine.load_s = 3.0
        replies = []

        async def call():
            begun_s = trio.current_time()
            reply = await fleet.call("/notes/1", adapter="base/a7")
            replies.append((reply.status, trio.current_time() - begun_s))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            for engine in fleet.engines:
                fleet.gateways["g0"].states.note_answer(
                    engine.name,
                    messages.Statements(retry_after_s=5.0),
                    503,
                )
        assert replies[0][0] == 503
        assert replies[0][1] < 0.5

    gateways.run(scenario, nodes=3)


@pytest.mark.parametrize("answer_s", [0.0, 2.0])
def test_node_that_was_paused_keeps_to_what_it_was_told(answer_s):
    async def scenario(fleet):
        shop = fleet.shop_servers[0]
        shop.leaving = "1"
        await _send_calls(fleet, *PLAIN, 1.0)
        fleet.net.pause("g1")
        await trio.sleep(3.0 + answer_s)
        fleet.net.resume("g1")
        shop.arrived_s.clear()
        await _send_calls(fleet, *PLAIN, 4.0)
        assert not shop.arrived_s

    gateways.run(scenario, nodes=3)


def _exchange(status=503, **headers):
    pairs = []
    for name, values in headers.items():
        values = values if isinstance(values, tuple) else (values,)
        pairs += [(name.replace("_", "-"), value) for value in values]
    return types.SimpleNamespace(headers=tuple(pairs), status=status)


@pytest.mark.parametrize(
    ("value", "expected_s"),
    [
        ("0", 0.0),
        ("0.25", 0.25),
        ("3600", 3600.0),
        ("1e999", messages.RETRY_AFTER_MAX_S),
        ("99999999", messages.RETRY_AFTER_MAX_S),
        (("1", "2"), 2.0),
        (("nan", "2"), 2.0),
    ],
)
def test_retry_time_is_read_from_an_answer(value, expected_s):
    statements = messages.read_statements(_exchange(retry_after=value))
    assert statements.retry_after_s == expected_s


DATE = "Fri, 01 Jan 2027 00:00:00 GMT"
FAR_DATE = "Fri, 01 Jan 2027 00:00:00 +" + "9" * 20


@pytest.mark.parametrize("value", ["", "-1", "nan", "soon", "1,5", FAR_DATE])
def test_retry_time_that_is_no_time_is_reported_and_ignored(value):
    exchange = _exchange(retry_after=value, date=DATE)
    statements = messages.read_statements(exchange)
    assert statements.retry_after_s is None
    assert statements.problems


def test_retry_date_is_read_against_the_date_of_the_answer():
    later = "Fri, 04 Dec 2026 12:00:07 GMT"
    earlier = "Fri, 04 Dec 2026 12:00:00 GMT"
    read = messages.read_statements(_exchange(retry_after=later, date=earlier))
    assert read.retry_after_s == 7.0
    read = messages.read_statements(_exchange(retry_after=later))
    assert read.retry_after_s is None and read.problems


def test_retry_time_beyond_the_bound_is_reported():
    assert messages.read_statements(_exchange(retry_after="1e9")).problems


@pytest.mark.parametrize(
    ("value", "is_leaving", "is_problem"),
    [
        ("1", True, False),
        (("1", "1"), True, False),
        ("0", False, False),
        ("", False, True),
        ("yes", False, True),
    ],
)
def test_statement_of_leaving_is_read(value, is_leaving, is_problem):
    statements = messages.read_statements(_exchange(server_leaving=value))
    assert statements.leaving is is_leaving
    assert bool(statements.problems) is is_problem


def test_only_a_refusal_with_status_503_makes_a_server_busy():
    statements = messages.read_statements(_exchange(200, retry_after="9"))
    assert statements.retry_after_s is None


@pytest.fixture
def clock():
    return types.SimpleNamespace(now_s=100.0)


@pytest.fixture
def states(clock):
    servers = {
        name: types.SimpleNamespace(
            name=name, service="shop", draining=False, cold_left_s=0.0
        )
        for name in ("s", "t", "u")
    }
    view = types.SimpleNamespace(
        servers=servers,
        available_servers=lambda service: [
            s for s in servers.values() if not s.draining
        ],
    )
    limits = types.SimpleNamespace(is_limited=lambda name: name == "t")
    return _server_states.ServerStates(
        view,
        limits,
        types.SimpleNamespace(is_limited=lambda name: name in ("t", "u")),
        lambda: clock.now_s,
        lambda *_: None,
        lambda name: None,
        lambda msg: None,
        lambda msg: None,
    )


def test_state_is_the_first_of_the_statements_that_holds(states, clock):
    view, state = states._view, _server_states.State
    assert states.state("s") is state.READY
    assert states.state("t") is state.LIMITED
    assert states.state("u") is state.BRITTLE
    view.servers["s"].cold_left_s = 1.0
    states.note_servers()
    assert states.state("s") is state.COLD
    clock.now_s += 1.0
    assert states.state("s") is state.READY
    states.note_answer("t", messages.Statements(retry_after_s=2.0), 503)
    assert states.state("t") is state.BUSY
    assert states.busy_s("t") == 2.0
    clock.now_s += 2.0
    assert states.state("t") is state.LIMITED
    states.note_answer("t", messages.Statements(leaving=True), 200)
    assert states.state("t") is state.LEAVING
    del view.servers["t"]
    assert states.state("t") is state.GONE


def test_draining_registration_that_is_taken_back_does_not_end_leaving(states):
    server = states._view.servers["s"]
    server.draining = True
    states.note_servers()
    server.draining = False
    states.note_servers()
    assert states.state("s") is _server_states.State.LEAVING


def test_statement_that_cannot_be_read_is_logged_once(states, caplog):
    statements = messages.Statements(problems=("server-leaving: 'yes'",))
    with caplog.at_level(logging.INFO, "coltsfootsail"):
        for _ in range(3):
            states.note_answer("s", statements, 200)
        states.note_answer("s", messages.Statements(), 200)
        states.note_answer("s", statements, 200)
    assert len(caplog.records) == 2


def test_shorter_retry_time_does_not_end_a_longer_one(states, clock):
    states.note_answer("s", messages.Statements(retry_after_s=5.0), 503)
    clock.now_s += 0.1
    states.note_answer("s", messages.Statements(retry_after_s=1.0), 503)
    assert states.busy_s("s") == pytest.approx(4.9)


def test_servers_that_left_are_forgotten_after_a_while(states, clock):
    states.note_answer("s", messages.Statements(leaving=True), 200)
    del states._view.servers["s"]
    clock.now_s += _server_states.FORGET_AFTER_S / 2
    states.sweep()
    assert states._leaving
    clock.now_s += _server_states.FORGET_AFTER_S
    states.sweep()
    assert not states._leaving


def test_log_of_a_send_names_the_servers_that_were_passed_over(caplog):
    async def scenario(fleet):
        fleet.shop_servers[0].busy = "9"
        await _send_calls(fleet, *PLAIN, 1.0)
        await fleet.call("/stock/9", request_id="late")

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    sent = [
        r for r in caplog.records if r.message == "sent" and r.id == "late"
    ]
    assert [each.closed for each in sent] == ["i-s0:busy"]


def test_explanation_names_the_statement_that_turned_a_request_away(caplog):
    async def scenario(fleet):
        for shop in fleet.shop_servers:
            shop.busy = "4"
        await _send_calls(fleet, *PLAIN, 1.0)
        await fleet.call("/stock/9", request_id="late")

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    refused = [
        r for r in caplog.records if r.message == "refused" and r.id == "late"
    ]
    assert refused[0].why == "servers busy"
    assert refused[0].retry_after_s > 0
    changes = [r for r in caplog.records if r.message == "server_statement"]
    assert {each.state for each in changes} == {"busy"}
    assert not any(math.isinf(each.for_s) for each in changes)
