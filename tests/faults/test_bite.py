"""Each check sees its violation once the safeguard is switched off."""

import dataclasses

import pytest
import trio

from coltsfootsail import _http
from coltsfootsail import _ledger
from coltsfootsail import _node
from coltsfootsail import _outcomes
from coltsfootsail import _owner
from coltsfootsail import _ownership
from coltsfootsail import _relay
from coltsfootsail import _routing
from coltsfootsail import _scheduler
from coltsfootsail import exceptions
from tests.faults import cases
from tests.faults import harness

SEED = 1
LONG_TOKENS = 60


def _no_answer_checks(patch):
    patch.setattr(_relay.EventChecker, "_check", _mark_done)
    patch.setattr(_relay, "check_body", lambda *args: None)
    patch.setattr(
        _http.Exchange, "header", lambda self, name, default="": default
    )


def _mark_done(checker, whole):
    checker.done = checker.done or whole.endswith(b"[DONE]\n\n")


def _evict_running(patch):
    ready = _scheduler.SlotState.READY
    patch.setattr(
        _scheduler.EndpointScheduler,
        "_evictable",
        lambda self, slot, now_s: slot.state is ready and slot.running,
    )


def _no_pins(patch):
    patch.setattr(
        _ownership.Ownership, "earlier_holders", lambda self, *args: ()
    )
    patch.setattr(
        _owner.EndpointOwner, "_confirm_finished_requests", _forget_running
    )


def _forget_running(self, report):
    for adapter in list(self._may_still_run_since_s):
        self.scheduler.settle(adapter)


def _claim_not_run(patch):
    patch.setattr(harness, "TOKENS", LONG_TOKENS)
    verdict = _outcomes.Verdict(
        exceptions.EndpointUnreachable, _outcomes.Retry.ANY
    )
    table = dict.fromkeys(_outcomes.TABLE, verdict)
    patch.setattr(_outcomes, "TABLE", table)
    patch.setattr(_outcomes, "may_retry", lambda exc, idempotent: False)


def _retry_all(patch):
    _claim_not_run(patch)
    patch.setattr(_outcomes, "may_retry", lambda exc, idempotent: True)


async def _claim_blindly(self, key, fingerprint):
    await trio.lowlevel.checkpoint()
    return _ledger.Claim(key, "0")


def _no_ledger(patch):
    patch.setattr(_ledger.Ledger, "claim", _claim_blindly)


def _accept_lower(patch):
    """Put whatever is read in force, older revisions included."""

    def activate_config(self, stored):
        changed = stored.root.revision != self.stored_config.root.revision
        self.stored_config = stored
        self._router = _routing.Router(stored.document)
        return changed

    patch.setattr(_node.Node, "activate_config", activate_config)


def _ignore_drains(patch):
    patch.setattr(_node.Node, "usable", lambda self, name, entry: True)


def _stop_at_once(patch):
    patch.setattr(_node.Node, "_is_busy", lambda self: False)


def _short_ttl(settings):
    drain = dataclasses.replace(settings.drain, address_ttl_s=0.01)
    return dataclasses.replace(settings, drain=drain)


BITES = [
    ("answers", "engine_crossed", _no_answer_checks),
    ("answers", "engine_wrong_version", _no_answer_checks),
    ("evictions", "none", _evict_running),
    ("not_run", "engines_crash", _claim_not_run),
    ("orders", "service_lost_reply", _retry_all),
    ("orders", "service_lost_reply", _no_ledger),
    ("orders_not_run", "services_lose_replies", _claim_not_run),
    ("config", "kv_stale_read", _accept_lower),
    ("drained", "endpoint_drained", _ignore_drains),
    ("planned", "node_stopped", _stop_at_once),
]


@pytest.mark.parametrize(
    ("promise", "fault", "switch_off"),
    BITES,
    ids=[f"{row[0]}-{row[2].__name__}" for row in BITES],
)
def test_check_sees_the_violation(
    seeded, system, monkeypatch, promise, fault, switch_off
):
    switch_off(monkeypatch)
    found = system("museum", engine_slots=harness.SLOTS)
    if promise == "planned":
        found._change = _chain(found._change, _short_ttl)
    faults = [cases.BY_NAME[fault]]
    world = seeded(SEED, harness.run_world, found, faults, SEED)
    assert promise in harness.violations(world)


def _chain(first, second):
    return lambda settings: second(first(settings))
