"""End-to-end tests of nodes on an in-memory network in virtual time."""

import dataclasses
import random

import pytest
import trio

from coltsfootsail import _demo
from coltsfootsail import _embedded
from tests.faults import harness


@pytest.mark.parametrize("name", ["museum", "registry"])
def test_sample_of_the_traffic_mix_is_answered_correctly(
    virtual, system, name
):
    embedded = system(name)

    async def main():
        async with embedded.running():
            return await _demo.send_sample(embedded)

    tally = virtual(main)
    assert not tally.wrong
    completions = len(embedded.deployment.groups) * 12
    calls = len(embedded.deployment.calls) * 6
    assert sum(tally.right.values()) == completions + calls


def test_config_change_takes_effect_on_every_node_within_2_s(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            scenario = harness.Scenario(embedded, random.Random(1))
            name = "gift-note-0001"
            old = embedded.document().adapters[name]
            new = dataclasses.replace(old, pin="v1")
            await harness.set_entry(scenario, "adapters", name, new)
            await trio.sleep(2.0)
            models = []
            for host in embedded.hosts:
                _, answer = await embedded.client.call_json(
                    embedded.caller_address(host),
                    "POST",
                    "/v1/completions",
                    {"model": name, "prompt": "x", "max_tokens": 2},
                    timeout_s=30.0,
                )
                models.append(answer["model"])
            assert models == [f"{name}@v1"] * len(embedded.hosts)

    virtual(main)


def test_model_list_is_paginated(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running(["entry-0"]):
            address = embedded.caller_address("entry-0")
            _, page = await embedded.client.call_json(
                address, "GET", "/v1/models?after=gift-note-0018"
            )
            assert [row["id"] for row in page["data"]] == [
                "gift-note-0019@v1",
                "gift-note-0019@v2",
            ]
            assert page["has_more"] is False

    virtual(main)


def test_loopback_addresses_are_free_and_specific_to_this_process():
    names = [f"n{number}" for number in range(50)]
    addresses = _embedded.loopback_addresses(names)
    assert len(set(addresses.values())) == len(names)
    hosts = {address.partition(":")[0] for address in addresses.values()}
    assert len(hosts) == 1
    assert hosts != {"127.0.0.1"}
