"""Every fault alone, on both deployments: no promise is broken."""

import pytest

from tests.faults import cases
from tests.faults import harness

SEED = 1


@pytest.mark.parametrize("name", ["museum", "registry"])
@pytest.mark.parametrize("fault", cases.FAULTS, ids=lambda f: f.name)
def test_single_fault_breaks_no_promise(seeded, system, name, fault):
    world = seeded(SEED, harness.run_world, system(name), [fault], SEED)
    assert harness.violations(world) == {}
    answered = [s for s in world.sent if s.state == "answered"]
    assert answered, harness.summary(world)
