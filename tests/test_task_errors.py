"""Errors in tasks that serve one request, one peer or one server.

None of them may end the process, nor what serves others.
"""

import pytest
import trio

from coltsfootsail import _grants
from tests import gateways


def _owner(fleet, engine):
    """Name the gateway that controls an engine."""
    return next(
        name
        for name, gateway in fleet.gateways.items()
        if engine.name in gateway.owned_engines.controllers
    )


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
        owner = _owner(fleet, engine)
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
