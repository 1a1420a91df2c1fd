"""Settings files of earlier builds, with which this one must start."""

import dataclasses
import logging

import pytest

from coltsfootsail import _settings
from tests.builds import package
from tests.builds import test_early_forms
from tests.builds import test_mixes

COMMITS = [*test_early_forms.COMMITS, *test_mixes.COMMITS]
REQUIRED = """\
[node]
name = "g0"
region = "here"
data_centre = "a"
caller_address = "127.0.0.1:80"
peer_address = "127.0.0.1:81"
admin_address = "127.0.0.1:82"
[platform]
kv_addresses = ["127.0.0.1:83"]
"""


def _keys(settings_class):
    return {
        (section.name, field.name)
        for section in dataclasses.fields(settings_class)
        if dataclasses.is_dataclass(section.type)
        for field in dataclasses.fields(section.type)
    }


@pytest.mark.parametrize("commit", COMMITS)
def test_settings_of_earlier_builds_are_known_or_retired(commit):
    earlier = _keys(package.load(commit)("_settings").Settings)
    assert earlier <= _keys(_settings.Settings) | _settings.RETIRED
    assert earlier


def test_retired_setting_is_named_in_a_warning(monkeypatch, caplog):
    text = REQUIRED + "[lease]\nold_s = 5\n"
    with pytest.raises(_settings.exceptions.SettingsError):
        _settings.loads(text)
    monkeypatch.setattr(_settings, "RETIRED", frozenset({("lease", "old_s")}))
    with caplog.at_level(logging.INFO, "coltsfootsail"):
        assert _settings.loads(text).node.name == "g0"
    (record,) = caplog.records
    assert (record.message, record.key) == ("setting_retired", "lease.old_s")
