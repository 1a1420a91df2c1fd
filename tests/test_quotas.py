"""Quotas at running gateways: refusals, refunds, changes and lost holders."""

import dataclasses
import json

import pytest
import trio

from coltsfootsail import _fleet
from coltsfootsail import _gateway
from coltsfootsail import _request_handler
from coltsfootsail import _wire
from tests import gateways

KEY = ("authorization", "Bearer k-acme")
WINDOW_S = 8.0


@pytest.fixture(autouse=True)
def _workspace_of_key(monkeypatch):
    """Find the workspace of a request's key, as access control does."""
    create = _request_handler.RequestHandler._create_context

    def create_with_workspace(handler, req, meta):
        context = create(handler, req, meta)
        table = _fleet.KeyTable(handler._gateway.view.deployment)
        context.workspace = context.workspace or table.find(meta.key)
        return context

    monkeypatch.setattr(
        _request_handler.RequestHandler,
        "_create_context",
        create_with_workspace,
    )


class QuotaFleet(gateways.Fleet):
    """A fleet whose windows may exceed a quota by a tenth."""

    def make_gateway(self, name):
        """Make a gateway that is not started yet."""
        settings = gateways.settings(name)
        gateway = dataclasses.replace(settings.gateway, quota_overage=0.1)
        settings = dataclasses.replace(settings, gateway=gateway)
        return _gateway.Gateway(settings, self.net.network(name))


def _limit(fleet, version, **fields):
    """Put a configuration with one tenant in force."""
    tenant = {"name": "acme", "apiKeys": ["k-acme"], **fields}
    config = gateways.configuration(version) | {"tenants": [tenant]}
    fleet.store.put("op/config", config)


async def _calls(fleet, count, nodes=None, pause_s=0.0):
    """Send requests to the nodes in turn.

    :returns: list of ``Reply``.
    """
    replies = []
    names = nodes or fleet.names

    async def call(number):
        node = names[number % len(names)]
        reply = await fleet.call(
            "/stock/1", node, headers=[KEY], request_id=f"r{number}"
        )
        replies.append(reply)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(call, number)
            await trio.sleep(pause_s)
    return replies


def _granted(replies):
    return sum(reply.status == 200 for reply in replies)


def _run(scenario, nodes=3, rate=5.0, burst=20.0):
    """Run a scenario on a fleet whose tenant has a full quota."""

    async def limited(fleet):
        _limit(fleet, 2, ratePerS=rate, burst=burst)
        await trio.sleep(14.0)
        await scenario(fleet)

    gateways.run(limited, nodes, make_fleet=QuotaFleet)


def _total(fleet, counter):
    """Sum up a counter of the tenant over all nodes."""
    return sum(
        gateway.metrics.counter_total(counter, "acme")
        for gateway in fleet.gateways.values()
    )


@pytest.mark.parametrize("nodes", [1, 3])
def test_requests_above_the_limit_of_all_nodes_are_refused_at_once(nodes):
    """Guards against a limit that holds at each node, and untrue refusals."""

    allowed = 1.1 * (5.0 * WINDOW_S + 20.0) - 5.0 * WINDOW_S

    async def scenario(fleet):
        begun_s = trio.current_time()
        replies = await _calls(fleet, 60)
        assert trio.current_time() - begun_s < 0.5
        assert 20 <= _granted(replies) <= allowed
        refused = [reply for reply in replies if reply.status != 200]
        assert {reply.status for reply in refused} == {429}
        error = json.loads(refused[0].body)["error"]
        assert (error["code"], error["outcome"]) == ("over_quota", "not_run")
        wait_s = max(float(reply.headers["retry-after"]) for reply in refused)
        assert 0.0 < wait_s <= 0.25
        assert sum(len(s.runs) for s in fleet.shop_servers) <= allowed
        assert _total(fleet, "quota_granted") == _granted(replies)
        assert _total(fleet, "quota_refused") == len(refused)
        await trio.sleep(wait_s)
        assert _granted(await _calls(fleet, 1)) == 1

    _run(scenario, nodes)


def test_a_request_that_has_not_run_gives_its_tokens_back():
    """Guards against a limit used up by requests that other limits refuse."""

    async def scenario(fleet):
        await _calls(fleet, 10)
        for server in fleet.shop_servers:
            server.refuse = True
        assert _granted(await _calls(fleet, 8)) == 0
        for server in fleet.shop_servers:
            server.refuse = False
        assert _total(fleet, "quota_refunded") == 8
        await trio.sleep(0.6)
        assert _granted(await _calls(fleet, 12)) == 12

    _run(scenario)


def test_changed_limits_bind_within_three_seconds():
    """Guards against limits that need a restart."""

    async def scenario(fleet):
        _limit(fleet, 3, ratePerS=1.0, burst=2.0)
        await trio.sleep(3.0)
        assert _granted(await _calls(fleet, 30)) <= 4
        _limit(fleet, 4)
        await trio.sleep(3.0)
        assert _granted(await _calls(fleet, 60, pause_s=0.01)) == 60
        _limit(fleet, 5, ratePerS=1.0, burst=2.0)
        await trio.sleep(3.0)
        assert _granted(await _calls(fleet, 30)) <= 4

    _run(scenario)


def test_the_limit_is_used_again_after_the_holder_was_killed():
    """Guards against a pool that dies with its node."""

    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        holder = gateway.quotas._holders["acme"]
        fleet.scopes.pop(holder).cancel()
        fleet.net.break_host(holder)
        alive = [name for name in fleet.names if name != holder]
        replies = await _calls(fleet, 40, alive, 0.1)
        late_s = max(float(r.headers.get("retry-after", 0)) for r in replies)
        assert late_s <= 2.0
        # Its registration expires, so that the others share all of it.
        await trio.sleep(16.0)
        replies = await _calls(fleet, 160, alive, 0.1)
        assert 0.95 * 80 <= _granted(replies) <= 80 * 1.1 + 20

    _run(scenario)


def test_without_quotas_nothing_is_sent_or_computed(monkeypatch):
    """Guards against a cost for deployments that have no quotas."""

    async def scenario(fleet):
        assert (await fleet.call("/stock/1")).status == 200
        for gateway in fleet.gateways.values():
            assert not gateway.quotas._holders
            assert not gateway.quotas._wake.is_set()

    sent = []
    encode = _wire.encode

    def record(msg, field_count=None):
        sent.append(type(msg))
        return encode(msg, field_count)

    monkeypatch.setattr(_wire, "encode", record)
    gateways.run(scenario, 3, make_fleet=QuotaFleet)
    assert _wire.Heartbeat in sent
    assert not {_wire.QuotaReport, _wire.QuotaReply} & set(sent)
