"""Tests that no pair of faults violates a guarantee; run with ``--long``.

``FAULT_SEED`` sets the seed; with ``FAULT_STRIDE`` n only each n-th pair
is tested.
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
def test_pair_of_faults_violates_no_guarantee(
    seeded, system, record_property, name, pair
):
    embedded = system(name, engine_slots=harness.ENGINE_SLOTS)
    scenario = seeded(SEED, harness.run_scenario, embedded, pair, SEED)
    record_property("world", harness.table_row(scenario, name, pair))
    assert harness.violations(scenario) == {}
