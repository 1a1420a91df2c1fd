"""Tests that no single fault violates a guarantee, on both deployments."""

import pytest

from tests.faults import cases
from tests.faults import harness

SEED = 1


@pytest.mark.parametrize("name", ["museum", "registry"])
@pytest.mark.parametrize("fault", cases.FAULTS, ids=lambda f: f.name)
def test_single_fault_violates_no_guarantee(
    seeded, system, record_property, name, fault
):
    embedded = system(name, engine_slots=harness.ENGINE_SLOTS)
    scenario = seeded(SEED, harness.run_scenario, embedded, [fault], SEED)
    record_property("world", harness.table_row(scenario, name, [fault]))
    assert harness.violations(scenario) == {}
    answered_categories = {
        sent.category for sent in scenario.sent if sent.outcome == "answered"
    }
    assert {"order", harness.PROBE} < answered_categories, harness.summary(
        scenario
    )
