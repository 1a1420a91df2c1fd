"""Builds of protocol 1 that know fewer fields of some messages."""

import functools
import types

import pytest

from coltsfootsail import _early_forms
from coltsfootsail import _wire
from tests.builds import fleet as fleets
from tests.builds import test_mixes
from tests import gateways

TODAY = fleets.TODAY
# The milestone's build, which knows the shortest forms, and those in between.
COMMITS = ["50b3e46", "2e29058", "70008f7"]
FORMS_TRIED_MAX = (
    2  # messages that one node may not be able to read of another
)


@pytest.fixture
def clock():
    return types.SimpleNamespace(now_s=100.0)


@pytest.fixture
def forms(clock):
    return _early_forms.EarlyForms(lambda: clock.now_s)


def _uses(forms):
    return tuple(
        forms.use(each)
        for each in (_wire.GrantEnd, _wire.GrantRequest, _wire.GrantReply)
    )


def test_peer_is_taken_to_be_of_a_late_build_at_first(forms):
    assert _uses(forms) == (3, 11, 7)
    assert forms.use(_wire.Heartbeat) is None


def test_peer_that_ends_its_link_at_a_request_gets_the_shortest_forms(forms):
    forms.use(_wire.GrantRequest)
    forms.note_link_end()
    assert _uses(forms) == (2, 10, 5)


def test_link_that_ends_later_ends_for_another_reason(forms, clock):
    forms.use(_wire.GrantRequest)
    clock.now_s += 5.0
    forms.note_link_end()
    assert forms.use(_wire.GrantRequest) == 11


def test_messages_of_a_peer_show_which_forms_it_knows(forms):
    forms.note_received(_wire.GrantRequest, 10)
    assert _uses(forms) == (2, 10, 5)
    forms.note_received(_wire.GrantEnd, 3)
    assert _uses(forms) == (3, 10, 5)


def test_reply_shows_that_the_request_was_read(forms):
    forms.use(_wire.GrantRequest)
    forms.note_received(_wire.GrantReply, 5)
    assert _uses(forms) == (3, 11, 5)


def test_another_build_in_the_place_of_a_peer_is_noticed(forms):
    forms.note_received(_wire.GrantRequest, 10)
    forms.note_received(_wire.GrantRequest, 11)
    assert forms.use(_wire.GrantRequest) == 11
    forms = _early_forms.EarlyForms(lambda: 100.0)
    for _ in range(2):
        forms.note_received(_wire.GrantReply, 7)
        assert _uses(forms) == (3, 11, 7)
        forms.note_received(_wire.GrantReply, 5)
        assert forms.use(_wire.GrantReply) == 5


def _play(monkeypatch, builds, scenario):
    """Run a scenario and count what each node could not read of another."""
    counts = []

    async def check(fleet):
        await scenario(fleet)
        fleets.check_turns(fleet)
        fleets.check_runs(fleet)
        counts.append(len(fleet.unreadable))

    make_fleet = functools.partial(test_mixes._make_fleet, builds, monkeypatch)
    gateways.run(check, make_fleet=make_fleet, engines=2)
    return counts[0]


@pytest.mark.parametrize("commit", COMMITS)
@pytest.mark.parametrize("new_nodes", [1, 2, 3])
def test_mix_with_a_build_of_shorter_messages(monkeypatch, commit, new_nodes):
    async def scenario(fleet):
        replies = await test_mixes._send_calls(fleet, 12.0)
        assert len(test_mixes._failures(replies)) <= 1

    old_nodes = 4 - new_nodes
    builds = [TODAY] * new_nodes + [commit] * old_nodes
    for order in (builds, builds[::-1]):
        unreadable = _play(monkeypatch, order, scenario)
        assert unreadable <= FORMS_TRIED_MAX * new_nodes * old_nodes


def test_nodes_of_shorter_messages_are_replaced_one_by_one(monkeypatch):
    async def scenario(fleet):
        await test_mixes.roll_forth_and_back(fleet, "50b3e46")

    replacements, peers = 6, 2
    unreadable = _play(monkeypatch, ["50b3e46"] * 3, scenario)
    assert unreadable <= FORMS_TRIED_MAX * replacements * peers
