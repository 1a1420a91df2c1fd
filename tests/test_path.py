"""The whole path, in memory and virtual time."""

import dataclasses
import random

import pytest
import trio

from coltsfootsail import _demo
from coltsfootsail import _embedded
from tests.faults import harness


@pytest.mark.parametrize("name", ["museum", "registry"])
def test_sample_of_the_mix_is_answered_right(virtual, system, name):
    found = system(name)

    async def main():
        async with found.running():
            return await _demo.send_sample(found)

    tally = virtual(main)
    assert not tally.wrong
    completions = len(found.deployment.groups) * 12
    calls = len(found.deployment.calls) * 6
    assert sum(tally.right.values()) == completions + calls


def test_a_change_is_in_force_on_every_node_within_2_s(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            world = harness.World(found, random.Random(1))
            name = "gift-note-0001"
            old = found.document().adapters[name]
            new = dataclasses.replace(old, pin="v1")
            await harness.apply_entry(world, "adapters", name, new)
            await trio.sleep(2.0)
            models = []
            for host in found.hosts:
                _, answer = await found.client.call_json(
                    found.caller_address(host),
                    "POST",
                    "/v1/completions",
                    {"model": name, "prompt": "x", "max_tokens": 2},
                    timeout_s=30.0,
                )
                models.append(answer["model"])
            assert models == [f"{name}@v1"] * len(found.hosts)

    virtual(main)


def test_models_are_listed_in_pages(virtual, system):
    found = system("museum")

    async def main():
        async with found.running(["entry-0"]):
            address = found.caller_address("entry-0")
            _, page = await found.client.call_json(
                address, "GET", "/v1/models?after=gift-note-0018"
            )
            assert [row["id"] for row in page["data"]] == [
                "gift-note-0019@v1",
                "gift-note-0019@v2",
            ]
            assert page["has_more"] is False

    virtual(main)


def test_loopback_addresses_are_free_and_of_this_process():
    names = [f"n{number}" for number in range(50)]
    found = _embedded.loopback_addresses(names)
    assert len(set(found.values())) == len(names)
    hosts = {address.partition(":")[0] for address in found.values()}
    assert len(hosts) == 1
    assert hosts != {"127.0.0.1"}
