"""The long form: every pair of faults, on both deployments.

``FAULT_SEED`` chooses the seed, ``FAULT_STRIDE`` takes each n-th pair.
"""

import itertools
import os

import pytest

from tests.faults import cases
from tests.faults import harness

STRIDE = int(os.environ.get("FAULT_STRIDE", "1"))
PAIRS = list(itertools.combinations(cases.FAULTS[1:], 2))[::STRIDE]
SEED = int(os.environ.get("FAULT_SEED", "2"))


@pytest.mark.long
@pytest.mark.parametrize("name", ["museum", "registry"])
@pytest.mark.parametrize(
    "pair", PAIRS, ids=["+".join(f.name for f in pair) for pair in PAIRS]
)
def test_pair_of_faults_breaks_no_promise(
    seeded, system, record_property, name, pair
):
    found = system(name, engine_slots=harness.SLOTS)
    world = seeded(SEED, harness.run_world, found, pair, SEED)
    record_property("world", harness.row(world, name, pair))
    assert harness.violations(world) == {}
