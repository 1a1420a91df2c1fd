"""The clients of the host list and of plain services, with faults."""

import dataclasses

import pytest
import trio

from coltsfootsail import _document
from coltsfootsail import _hosts
from coltsfootsail import _http
from coltsfootsail import _ledger
from coltsfootsail import _retries
from coltsfootsail import _services
from coltsfootsail import _settings
from coltsfootsail import exceptions
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import platform

FAULTS = platform.ServiceFault
SERVICE = _document.Service(prefix="/shop", idempotent_paths=("/stock",))


class _LedgerStub:
    """A ledger that grants every claim and records how it was settled."""

    def __init__(self):
        self.settled = []

    async def claim(self, key, content):
        return _ledger.Claim(key, "1")

    async def complete(self, claim, answer):
        self.settled.append("done")

    async def release(self, claim):
        self.settled.append("released")

    async def mark_unknown(self, claim):
        self.settled.append("unknown")


@dataclasses.dataclass(frozen=True, slots=True)
class _Shop:
    """A service, with its client and the ledger that the client uses."""

    calls: _services.ServiceCalls
    ledger: _LedgerStub
    instances: dict
    entries: dict

    def runs(self, key):
        """Count the runs of an idempotency key over all instances."""
        return sum(item.runs[key] for item in self.instances.values())


@pytest.fixture
def run_with_shop(virtual):
    """Run ``async (_Shop)`` with two instances of a service.

    The entry ``dead`` has an address where nothing listens.
    """

    def run(main):
        async def run_main():
            net = memory.MemoryNetwork()
            client = _http.HttpClient(net.network("node"))
            ledger = _LedgerStub()
            limits = _settings.LimitSettings(silence_timeout_s=3.0)
            calls = _services.ServiceCalls(
                client,
                ledger,
                _retries.RetryBudget(0.1),
                lambda counter, reason: None,
                limits,
            )
            instances, entries = {}, {}
            async with trio.open_nursery() as nursery:
                for name in ("s0", "s1"):
                    instances[name] = platform.ServiceStandIn(name)
                    entries[name] = _document.Endpoint(
                        kind=_document.EndpointKind.SERVICE,
                        address=f"{name}:1",
                        data_centre="d",
                        host=name,
                        service="shop",
                    )
                    serve = net.network(name).serve
                    await nursery.start(
                        serve, f"{name}:1", instances[name].serve
                    )
                entries["dead"] = dataclasses.replace(
                    entries["s0"], address="dead:1"
                )
                await main(_Shop(calls, ledger, instances, entries))
                nursery.cancel_scope.cancel()

        virtual(run_main)

    return run


def _order():
    headers = (("idempotency-key", "k"),)
    return _http.HttpRequest("POST", "/shop/orders", headers, b"{}")


async def _call(shop, req, names):
    entries = {name: shop.entries[name] for name in names}
    return await shop.calls.call(req, SERVICE, entries, 10.0, "r1")


def test_a_call_is_passed_through_and_settled(run_with_shop):
    async def main(shop):
        status, _, body = await _call(shop, _order(), ["s0"])
        assert (status, b'"/shop/orders"' in body) == (200, True)
        assert (shop.runs("k"), shop.ledger.settled) == (1, ["done"])

    run_with_shop(main)


@pytest.mark.parametrize("fault", [FAULTS.SILENT, FAULTS.LOST_REPLY])
def test_an_order_without_an_answer_is_unknown_and_not_retried(
    run_with_shop, fault
):
    async def main(shop):
        for item in shop.instances.values():
            item.fault = fault
        with pytest.raises(exceptions.ColtsfootsailError) as caught:
            await _call(shop, _order(), ["s0", "s1"])
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN
        assert shop.runs("k") <= 1
        assert shop.ledger.settled == ["unknown"]

    run_with_shop(main)


def test_an_order_that_no_instance_received_is_not_run_and_released(
    run_with_shop,
):
    async def main(shop):
        with pytest.raises(exceptions.EndpointUnreachable) as caught:
            await _call(shop, _order(), ["dead"])
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        assert shop.ledger.settled == ["released"]

    run_with_shop(main)


def test_an_idempotent_call_is_retried_on_another_instance(run_with_shop):
    async def main(shop):
        req = _http.HttpRequest("POST", "/shop/stock", (), b"{}")
        shop.instances["s0"].fault = FAULTS.LOST_REPLY
        status, _, _ = await _call(shop, req, ["s0", "s1", "dead"])
        assert status == 200

    run_with_shop(main)


def test_a_call_that_may_have_run_is_not_told_as_not_run(run_with_shop):
    """The first instance loses its answer, the second one is unreachable."""

    async def main(shop):
        for instance in shop.instances.values():
            instance.fault = FAULTS.LOST_REPLY
        req = _http.HttpRequest("POST", "/shop/stock", (), b"{}")
        entries = {"s0": shop.entries["s0"], "dead": shop.entries["dead"]}
        outcomes = set()
        for number in range(8):
            with pytest.raises(exceptions.ColtsfootsailError) as error:
                await shop.calls.call(
                    req, SERVICE, entries, 10.0, f"r{number}"
                )
            outcomes.add(error.value.outcome)
        assert outcomes == {exceptions.Outcome.UNKNOWN}

    run_with_shop(main)


def test_a_503_of_a_service_is_passed_on_unchanged(run_with_shop):
    async def main(shop):
        shop.instances["s0"].fault = FAULTS.REFUSED
        req = _http.HttpRequest("GET", "/shop/stock", (), b"")
        status, _, _ = await _call(shop, req, ["s0"])
        assert status == 503

    run_with_shop(main)


def test_an_order_without_an_instance_is_refused_and_released(run_with_shop):
    async def main(shop):
        with pytest.raises(exceptions.NoEndpoint):
            await _call(shop, _order(), [])
        assert shop.ledger.settled == ["released"]

    run_with_shop(main)


def test_the_host_list_is_followed_despite_lag_and_outages(virtual):
    async def main():
        net = memory.MemoryNetwork()
        listed = platform.HostListStandIn({"h1": "d", "h2": "d"}, lag_s=1.0)
        network = net.network("node")
        client = _http.HttpClient(network)
        hosts = _hosts.HostList(client, "hosts:1", network.now)
        async with trio.open_nursery() as nursery:
            serve = net.network("hosts").serve
            await nursery.start(serve, "hosts:1", listed.serve)
            nursery.start_soon(hosts.run, lambda: None)
            await trio.sleep(3.0)
            assert not hosts.is_leaving("h1")
            listed.set_state("h1", "leaving")
            await trio.sleep(4.0)
            assert hosts.is_leaving("h1")
            assert hosts.gone_s("h1") < 0
            listed.down = True
            listed.set_state("h2", "gone")
            await trio.sleep(20.0)
            assert not hosts.is_leaving("h2")
            listed.down = False
            await trio.sleep(10.0)
            assert hosts.gone_s("h2") > 0
            listed.set_state("h2", "live")
            await trio.sleep(5.0)
            assert not hosts.is_leaving("h2")
            nursery.cancel_scope.cancel()

    virtual(main)
