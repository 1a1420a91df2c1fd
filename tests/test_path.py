"""The whole path, in memory and virtual time."""

import pytest

from coltsfootsail import _demo


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
