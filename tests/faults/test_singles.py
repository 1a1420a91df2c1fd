"""Every fault alone, on both deployments: no promise is broken."""

import pytest

from tests.faults import cases
from tests.faults import harness

SEED = 1


@pytest.mark.parametrize("name", ["museum", "registry"])
@pytest.mark.parametrize("fault", cases.FAULTS, ids=lambda f: f.name)
def test_single_fault_breaks_no_promise(
    seeded, system, record_property, name, fault
):
    found = system(name, engine_slots=harness.SLOTS)
    world = seeded(SEED, harness.run_world, found, [fault], SEED)
    record_property("world", harness.row(world, name, [fault]))
    assert harness.violations(world) == {}
    kinds = {sent.kind for sent in world.sent if sent.state == "answered"}
    assert {"order", harness.PROBE} < kinds, harness.summary(world)
