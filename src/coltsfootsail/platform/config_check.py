"""Checks of the operator's configuration before it is put in force.

The code does no I/O.  Keys are named by tenant and position only.
"""

import json

from coltsfootsail import _fleet
from coltsfootsail import exceptions
from coltsfootsail.platform import config_fields
from coltsfootsail.platform import registry

_error, _warning = config_fields.error, config_fields.warning
TOKENS_UNIT = "tokens"


def load(data):
    """Decode the document's JSON.

    :returns: tuple of the document, and a list of ``Finding``.
    """
    try:
        return json.loads(data), []
    except json.JSONDecodeError as exc:
        place = f"line {exc.lineno}, column {exc.colno}"
        return None, [_error(place, "json", exc.msg)]
    except ValueError:
        return None, [_error("", "json", "is not text in UTF-8")]


def check(data, in_force=None):
    """Check a configuration.

    :param data: bytes.
    :param in_force: the decoded document in force, None for none.
    :returns: list of ``Finding``, errors first.
    """
    raw, findings = load(data)
    if findings:
        return findings
    findings = list(config_fields.check_fields(raw))
    if not any(each.level == "error" for each in findings):
        findings += _check_meaning(data, raw, in_force)
    return sorted(findings, key=lambda each: each.level != "error")


def _check_meaning(data, raw, in_force):
    try:
        deployment = registry.decode_deployment(data)
    except exceptions.BadField:
        yield from _find_undecodable(raw)
        return
    yield from _check_version(deployment, in_force)
    yield from _check_names(raw)
    yield from _check_routes(deployment)
    yield from _check_services(raw, deployment)
    yield from _check_tenants(raw)


def _find_undecodable(raw):
    """Find the items that can't be decoded, such as those with a null."""
    nothing = {"version": 1, "routes": [], "services": []}
    found = False
    for section in ("routes", "services", "tenants"):
        for number, item in enumerate(raw.get(section) or ()):
            data = json.dumps({**nothing, section: [item]})
            try:
                registry.decode_deployment(data)
            except exceptions.BadField:
                found = True
                place = f"{section}[{number}]"
                yield _error(place, "undecodable", "can't be decoded")
    if not found:
        yield _error("", "undecodable", "can't be decoded")


def _check_version(deployment, in_force):
    old = in_force.get("version") if isinstance(in_force, dict) else None
    if isinstance(old, int) and deployment.version <= old:
        yield _error(
            "version",
            "version",
            f"{deployment.version} is not above {old}, which is in force",
        )


def _check_names(raw):
    """Find names that are used twice; of services the last one counts."""
    for section in ("routes", "services", "tenants"):
        seen = {}
        for number, item in enumerate(raw.get(section) or ()):
            place = f"{section}[{number}]"
            if item["name"] in seen:
                first = seen[item["name"]]
                make = _warning if section == "routes" else _error
                yield make(place, "same_name", f"has the same name as {first}")
            seen.setdefault(item["name"], place)


def _check_routes(deployment):
    last = {
        (route.host, route.prefix): number
        for number, route in enumerate(deployment.routes)
    }
    for number, route in enumerate(deployment.routes):
        place = f"routes[{number}]"
        winner = last[route.host, route.prefix]
        if winner != number:
            yield _warning(
                place,
                "never_matches",
                f"routes[{winner}] has the same host and prefix",
            )
        if not route.prefix.startswith("/") or ":" in route.host:
            yield _warning(
                place,
                "never_matches",
                "no request has this host or prefix",
            )
        yield from _check_targets(route, place, deployment)
        yield from _check_route_limits(route, place)


def _check_targets(route, place, deployment):
    for target in route.targets:
        if target.service not in deployment.services:
            yield _error(place, "no_service", "leads to no defined service")
        if target.weight <= 0:
            yield _warning(
                place, "never_matches", "a target has a weight of 0"
            )
    if sum(target.weight for target in route.targets) <= 0:
        yield _error(place, "weights", "all weights are 0")


def _check_route_limits(route, place):
    if route.objective_s > route.timeout_s:
        yield _warning(f"{place}.sloMs", "objective", "is above timeoutMs")
    if route.gap_s > route.timeout_s:
        yield _warning(f"{place}.gapSloMs", "objective", "is above timeoutMs")
    if route.attempts < 1:
        yield _warning(f"{place}.attempts", "attempts", "is below 1")


def _check_services(raw, deployment):
    reached = {
        target.service
        for route in deployment.routes
        for target in route.targets
        if target.weight > 0
    }
    for number, item in enumerate(raw["services"]):
        place = f"services[{number}]"
        if item["name"] not in reached:
            yield _warning(place, "unreachable", "no route leads to it")
        engine = deployment.services[item["name"]].engine
        if engine is not None:
            yield from _check_engine(engine, f"{place}.engine")


def _check_engine(engine, place):
    if engine.slots < 1 or engine.memory_tokens < 1:
        yield _error(place, "engine", "slots or kvTokens is 0")
    for number, model in enumerate(engine.models):
        model_place = f"{place}.models[{number}]"
        adapters_mb = engine.adapter_slots * model.adapter_mb
        if model.weights_mb > engine.weights_mb:
            yield _error(
                model_place, "engine", "its weights exceed the engine's memory"
            )
        elif adapters_mb > engine.weights_mb:
            yield _warning(
                model_place,
                "engine",
                "the adapters of all slots exceed the engine's memory",
            )
        elif model.weights_mb + adapters_mb > engine.weights_mb:
            yield _warning(
                model_place,
                "engine",
                "its weights and the adapters of all slots exceed the "
                "engine's memory",
            )


def _check_tenants(raw):
    holders = {}
    for number, tenant in enumerate(raw.get("tenants") or ()):
        place = f"tenants[{number}]"
        keys = tenant.get("apiKeys") or ()
        digests = [_fleet.digest(key) for key in keys]
        digests += tenant.get(registry.KEY_DIGESTS) or ()
        if not digests:
            yield _warning(place, "never_matches", "has no keys")
        for position, digest in enumerate(digests):
            key_place = f"{place}.apiKeys[{position}]"
            if digest in holders:
                holder, holder_place = holders[digest]
                make = _warning if holder == number else _error
                yield make(
                    key_place, "same_key", f"is the key {holder_place} too"
                )
            holders.setdefault(digest, (number, key_place))
        yield from _check_quota(tenant, place)


def _check_quota(tenant, place):
    rate, burst = tenant.get("ratePerS") or 0, tenant.get("burst") or 0
    unit = tenant.get("unit")
    if unit not in (None, "", "requests", TOKENS_UNIT):
        yield _warning(f"{place}.unit", "unit", "counts requests")
    if not rate:
        if burst:
            yield _warning(
                f"{place}.burst", "quota", "has no effect without ratePerS"
            )
        return
    cost = 1
    if unit == TOKENS_UNIT:
        cost = tenant.get("plainTokens") or 0
        if not cost:
            yield _warning(
                f"{place}.plainTokens",
                "quota",
                "requests without a token count cost nothing",
            )
    if burst and burst < cost:
        yield _error(
            f"{place}.burst", "quota", "is below the cost of one request"
        )
