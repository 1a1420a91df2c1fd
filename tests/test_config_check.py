"""Findings in a gateways' configuration before it is put in force."""

import copy
import json

import pytest

from coltsfootsail import _cli
from coltsfootsail.platform import config_check
from coltsfootsail.standins import users

SECRET = "sk-4711-secret"
OTHER_SECRET = "sk-0815-secret"


def _document(version=2, **changes):
    document = copy.deepcopy(users.configuration(version))
    document["tenants"] = [
        {"name": "acme", "apiKeys": [SECRET], "ratePerS": 10, "burst": 20},
        {"name": "beta", "apiKeys": [OTHER_SECRET]},
    ]
    for path, value in changes.items():
        *steps, last = path.split("__")
        target = document
        for step in steps:
            target = target[int(step) if step.isdecimal() else step]
        target[int(last) if last.isdecimal() else last] = value
    return document


def _check(document, in_force=None):
    findings = config_check.check(json.dumps(document).encode(), in_force)
    return {(each.level, each.place, each.code) for each in findings}


def test_sound_configuration_has_no_findings():
    assert _check(_document()) == set()


@pytest.mark.parametrize(
    ("path", "value", "level", "place", "code"),
    [
        ("routes__1__timeoutMs", "x", "error", "routes[1].timeoutMs", "type"),
        ("routes__1__type", "stream", "error", "routes[1].type", "type"),
        ("routes__1__service", None, "error", "routes[1].service", "missing"),
        ("routes__1__service", "x", "error", "routes[1]", "no_service"),
        ("routes__1__priority", None, "error", "routes[1]", "undecodable"),
        ("routes__1__sloMs", 9000, "warning", "routes[1].sloMs", "objective"),
        (
            "routes__1__attempts",
            0,
            "warning",
            "routes[1].attempts",
            "attempts",
        ),
        (
            "routes__1__prefix",
            "/notes/",
            "warning",
            "routes[0]",
            "never_matches",
        ),
        ("routes__1__prefx", "/", "warning", "routes[1]", "unknown_field"),
        ("services__1__name", "engines", "error", "services[1]", "same_name"),
        (
            "services__0__engine__adapterSlots",
            6000,
            "warning",
            "services[0].engine.models[0]",
            "engine",
        ),
        ("tenants__1__apiKeys", [], "warning", "tenants[1]", "never_matches"),
        (
            "tenants__1__apiKeys",
            [OTHER_SECRET, SECRET],
            "error",
            "tenants[1].apiKeys[1]",
            "same_key",
        ),
        ("tenants__0__burst", 0.5, "error", "tenants[0].burst", "quota"),
        ("tenants__0__ratePerS", 0, "warning", "tenants[0].burst", "quota"),
        ("tenants__0__apiKeys", [7], "error", "tenants[0].apiKeys[0]", "type"),
    ],
)
def test_mistake_is_found_at_its_place(path, value, level, place, code):
    assert (level, place, code) in _check(_document(**{path: value}))


def test_service_that_no_route_leads_to_is_found():
    extra = [*_document()["services"], {"name": "spare"}]
    found = _check(_document(services=extra))
    assert found == {("warning", "services[2]", "unreachable")}


def test_version_that_would_not_be_put_in_force_is_an_error():
    found = _check(_document(2), _document(2))
    assert found == {("error", "version", "version")}


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({}, 0),
        ({"tenants__0__apikeys": [SECRET]}, 1),
        ({"tenants__1__apiKeys": [SECRET, SECRET]}, 2),
        ({"tenants__1__apiKeys": SECRET}, 2),
        ({"tenants__1__name": {SECRET: 1}}, 2),
        ({"tenants__1__ratePerS": SECRET}, 2),
    ],
)
@pytest.mark.parametrize("options", [(), ("--json",)])
def test_command_never_prints_keys(changes, code, options, tmp_path, capsys):
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    old.write_text(json.dumps(_document(1)))
    new.write_text(json.dumps(_document(**changes)))
    command = ["config", "check", str(new), "--against", str(old), *options]
    assert _cli.run(command) == code
    printed = "".join(capsys.readouterr())
    assert SECRET not in printed and OTHER_SECRET not in printed


def test_differences_name_keys_by_tenant_and_position(tmp_path, capsys):
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    old.write_text(json.dumps(_document(1)))
    changes = {"tenants__0__apiKeys": ["new"], "routes__1__timeoutMs": 2000}
    new.write_text(json.dumps(_document(**changes)))
    command = ["config", "check", str(new), "--against", str(old), "--json"]
    assert _cli.run(command) == 0
    value = json.loads(capsys.readouterr().out)
    assert {(each["place"], each["kind"]) for each in value["changes"]} == {
        ("routes/rprints.timeoutMs", "changed"),
        ("tenants/acme.apiKeys[0]", "removed"),
        ("tenants/acme.apiKeys[0]", "added"),
    }
