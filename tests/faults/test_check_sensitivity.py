"""Tests that each check detects violations once a safeguard is disabled."""

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


def _disable_answer_checks(patch):
    patch.setattr(_relay.EventChecker, "_check", _mark_done)
    patch.setattr(_relay, "check_body", lambda *args: None)
    patch.setattr(
        _http.Exchange, "header", lambda self, name, default="": default
    )


def _mark_done(checker, events):
    checker.done = checker.done or events.endswith(b"[DONE]\n\n")


def _allow_evicting_running_adapters(patch):
    ready = _scheduler.SlotState.READY
    patch.setattr(
        _scheduler.EndpointScheduler,
        "_evictable",
        lambda self, slot, now_s: slot.state is ready and slot.running,
    )


def _disable_pins(patch):
    patch.setattr(
        _ownership.Ownership, "earlier_holders", lambda self, *args: ()
    )
    patch.setattr(
        _owner.EndpointOwner,
        "_confirm_finished_requests",
        _settle_without_report,
    )


def _settle_without_report(self, report):
    for adapter in list(self._may_still_run_since_s):
        self.scheduler.clear_lingering(adapter)


def _report_failures_as_not_run(patch):
    patch.setattr(harness, "TOKENS", LONG_TOKENS)
    verdict = _outcomes.Verdict(
        exceptions.EndpointUnreachable, _outcomes.Retry.ANY
    )
    table = dict.fromkeys(_outcomes.VERDICTS, verdict)
    patch.setattr(_outcomes, "VERDICTS", table)
    patch.setattr(_outcomes, "may_retry", lambda exc, idempotent: False)


def _retry_every_failure(patch):
    _report_failures_as_not_run(patch)
    patch.setattr(_outcomes, "may_retry", lambda exc, idempotent: True)


async def _grant_every_claim(self, key, fingerprint):
    await trio.lowlevel.checkpoint()
    return _ledger.Claim(key, "0")


def _disable_ledger(patch):
    patch.setattr(_ledger.Ledger, "claim", _grant_every_claim)


def _activate_lower_revisions(patch):
    """Activate every configuration that is read, older ones included."""

    def activate_config(self, stored):
        changed = stored.root.revision != self.stored_config.root.revision
        self.stored_config = stored
        self._router = _routing.Router(stored.document)
        return changed

    patch.setattr(_node.Node, "activate_config", activate_config)


def _ignore_drains(patch):
    patch.setattr(_node.Node, "usable", lambda self, name, entry: True)


def _stop_without_waiting(patch):
    patch.setattr(_node.Node, "_is_busy", lambda self: False)


def _shorten_address_ttl(settings):
    drain = dataclasses.replace(settings.drain, address_ttl_s=0.01)
    return dataclasses.replace(settings, drain=drain)


SAFEGUARDS = [
    ("answers", "engine_crossed", _disable_answer_checks),
    ("answers", "engine_wrong_version", _disable_answer_checks),
    ("evictions", "none", _allow_evicting_running_adapters),
    ("not_run", "engines_crash", _report_failures_as_not_run),
    ("orders", "service_lost_reply", _retry_every_failure),
    ("orders", "service_lost_reply", _disable_ledger),
    ("orders_not_run", "services_lose_replies", _report_failures_as_not_run),
    ("config", "kv_stale_read", _activate_lower_revisions),
    ("drained", "endpoint_drained", _ignore_drains),
    ("planned", "node_stopped", _stop_without_waiting),
]


@pytest.mark.parametrize(
    ("check", "fault", "disable_safeguard"),
    SAFEGUARDS,
    ids=[f"{row[0]}-{row[2].__name__}" for row in SAFEGUARDS],
)
def test_check_detects_the_violation_without_the_safeguard(
    seeded, system, monkeypatch, check, fault, disable_safeguard
):
    disable_safeguard(monkeypatch)
    embedded = system("museum", engine_slots=harness.ENGINE_SLOTS)
    if check == "planned":
        embedded._change = _compose(embedded._change, _shorten_address_ttl)
    faults = [cases.BY_NAME[fault]]
    scenario = seeded(SEED, harness.run_scenario, embedded, faults, SEED)
    assert check in harness.violations(scenario)


def _compose(first, second):
    return lambda settings: second(first(settings))
