"""The configuration document: its model and its checks.

The document is a set of entries, each named by a section and a key
(``adapters/gift-note-0001``).  Operators change entries; nothing else
changes the behaviour of the system.
"""

import dataclasses
import enum
import re
import tomllib

import tomli_w

from coltsfootsail import _schema
from coltsfootsail import exceptions

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,79}")
ADAPTERS_MAX = 100_000
RULE_DEPTH_MAX = 8


class DrainKind(enum.StrEnum):
    """What a drain order names."""

    ENDPOINT = "endpoint"
    HOST = "host"
    DATA_CENTRE = "data_centre"


class EndpointKind(enum.StrEnum):
    """What an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter: base model, versions, the pinned one, class, team."""

    base: str
    versions: tuple[str, ...]
    pin: str
    priority: str = "standard"
    team: str = ""
    load_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Sends requests for one model name to another.

    ``match`` is an exact name, or a prefix that ends in ``*``.  Rules are
    tried by ``order``, then by name.
    """

    match: str
    target: str
    order: int = 100
    priority: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityClass:
    """A priority class; a lower rank goes first."""

    rank: int
    protected: bool = False
    max_wait_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service; calls other than GET and HEAD to paths outside
    ``idempotent_paths`` run at most once.
    """

    prefix: str
    idempotent_paths: tuple[str, ...] = ()
    priority: str = "standard"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A model engine or an instance of a plain service.

    An empty ``region`` means that nodes of any region may own it.
    """

    kind: EndpointKind
    address: str
    data_centre: str
    host: str
    base: str = ""
    service: str = ""
    slots: int = 0
    batch: int = 0
    fencing: bool = False
    region: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Takes an endpoint, host or data centre out of use."""

    kind: DrainKind
    name: str
    team: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that apply on every node."""

    queue_max: int = 256
    retry_share: float = 0.1
    batch_age_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team that writes configuration and sends requests."""

    requests_max: int = 500
    token_hash: str = ""
    may_drain: bool = False


SECTIONS = {
    "adapters": Adapter,
    "rules": Rule,
    "classes": PriorityClass,
    "services": Service,
    "endpoints": Endpoint,
    "drains": Drain,
    "limits": Limits,
    "teams": Team,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """All entries, by section."""

    adapters: dict[str, Adapter] = dataclasses.field(default_factory=dict)
    rules: dict[str, Rule] = dataclasses.field(default_factory=dict)
    classes: dict[str, PriorityClass] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    drains: dict[str, Drain] = dataclasses.field(default_factory=dict)
    limits: dict[str, Limits] = dataclasses.field(default_factory=dict)
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)


DEFAULT_LIMITS = Limits()
DEFAULT_CLASS = PriorityClass(rank=5)


def limits_of(document):
    """Get the limits in force.

    :returns: the entry ``limits/default``, or the defaults.
    """
    return document.limits.get("default", DEFAULT_LIMITS)


def priority_class_of(document, name):
    """Get a priority class by name, or the default class."""
    return document.classes.get(name, DEFAULT_CLASS)


def _problem(path, found, expected):
    return _schema.Problem(path, repr(found), expected)


def _name_problems(document):
    for section in SECTIONS:
        for name in getattr(document, section):
            if not NAME.fullmatch(name):
                yield _problem(
                    f"{section}.{name}",
                    name,
                    "lower-case letters, digits, dots and dashes",
                )


def _known_class(document, path, name):
    if name and name not in document.classes and name != "standard":
        yield _problem(path, name, "the name of a class")


def _adapter_problems(document):
    if len(document.adapters) > ADAPTERS_MAX:
        count = len(document.adapters)
        yield _problem("adapters", count, f"at most {ADAPTERS_MAX}")
    for name, adapter in document.adapters.items():
        path = f"adapters.{name}"
        if adapter.pin not in adapter.versions:
            yield _problem(f"{path}.pin", adapter.pin, "one of versions")
        for version in adapter.versions:
            if not NAME.fullmatch(version):
                yield _problem(f"{path}.versions", version, "a version name")
        if adapter.team and adapter.team not in document.teams:
            yield _problem(f"{path}.team", adapter.team, "the name of a team")
        yield from _known_class(document, f"{path}.priority", adapter.priority)


def ordered_rules(document):
    """List the rules in the order in which they are tried.

    :returns: list of pairs of name and ``Rule``.
    """
    return sorted(
        document.rules.items(), key=lambda item: (item[1].order, item[0])
    )


def rule_matches(rule, model):
    """Say whether a rule applies to a model name."""
    if rule.match.endswith("*"):
        return model.startswith(rule.match[:-1])
    return rule.match == model


def _covers(earlier, later):
    if earlier.match == later.match:
        return True
    if not earlier.match.endswith("*"):
        return False
    return later.match.rstrip("*").startswith(earlier.match[:-1])


def _unreachable(rules):
    for position, (name, rule) in enumerate(rules):
        for earlier_name, earlier in rules[:position]:
            if _covers(earlier, rule):
                yield _problem(
                    f"rules.{name}.match",
                    rule.match,
                    f"a name that rule {earlier_name!r} does not take first",
                )
                break


def _split_model(model):
    name, _, version = model.partition("@")
    return name, version


def _rule_problems(document):
    rules = ordered_rules(document)
    for name, rule in rules:
        path = f"rules.{name}"
        adapter, version = _split_model(rule.target)
        found = document.adapters.get(adapter)
        if found is None and _next_rule(rules, rule.target) is None:
            yield _problem(f"{path}.target", rule.target, "a known adapter")
        if found is not None and version and version not in found.versions:
            yield _problem(f"{path}.target", rule.target, "a known version")
        if _loops(rules, rule.target):
            yield _problem(f"{path}.target", rule.target, "no loop of rules")
        yield from _known_class(document, f"{path}.priority", rule.priority)
    yield from _unreachable(rules)


def _next_rule(rules, model):
    for _, rule in rules:
        if rule_matches(rule, model):
            return rule
    return None


def _loops(rules, model):
    for _ in range(RULE_DEPTH_MAX):
        rule = _next_rule(rules, model)
        if rule is None:
            return False
        model = rule.target
    return True


def _endpoint_problems(document):
    for name, endpoint in document.endpoints.items():
        path = f"endpoints.{name}"
        engine = endpoint.kind is EndpointKind.ENGINE
        if engine and endpoint.slots < 1:
            yield _problem(f"{path}.slots", endpoint.slots, "at least 1")
        if engine and endpoint.batch < 1:
            yield _problem(f"{path}.batch", endpoint.batch, "at least 1")
        if not engine and endpoint.service not in document.services:
            yield _problem(
                f"{path}.service", endpoint.service, "the name of a service"
            )


def _service_problems(document):
    prefixes = {}
    for name, service in document.services.items():
        path = f"services.{name}.prefix"
        prefix = service.prefix
        if not prefix.startswith("/") or prefix.startswith("/v1/"):
            yield _problem(path, prefix, "a path outside /v1/")
        if prefix in prefixes:
            yield _problem(path, prefix, "a prefix no other service has")
        prefixes[prefix] = name


def _drain_problems(document):
    for name, drain in document.drains.items():
        if drain.kind is not DrainKind.ENDPOINT:
            continue
        if drain.name not in document.endpoints:
            yield _problem(f"drains.{name}.name", drain.name, "an endpoint")


def _limit_problems(document):
    for name, limits in document.limits.items():
        if name != "default":
            yield _problem(f"limits.{name}", name, "default")
        if limits.queue_max < 1:
            yield _problem(
                f"limits.{name}.queue_max", limits.queue_max, "at least 1"
            )
        if not 0 <= limits.retry_share <= 1:
            yield _problem(
                f"limits.{name}.retry_share", limits.retry_share, "0 to 1"
            )
    for name, kind in document.classes.items():
        if not kind.max_wait_s > 0:
            yield _problem(
                f"classes.{name}.max_wait_s", kind.max_wait_s, "more than 0"
            )


_CHECKS = (
    _name_problems,
    _adapter_problems,
    _rule_problems,
    _endpoint_problems,
    _service_problems,
    _drain_problems,
    _limit_problems,
)


def check(document):
    """Check a document as a whole.

    :param document: ``Document``.
    :returns: list of ``Problem``, empty if all is well.
    """
    return [problem for run in _CHECKS for problem in run(document)]


def from_plain(value):
    """Build and check a document.

    :param value: dict of sections.
    :returns: ``Document``.
    :raises DocumentError: with every problem found.
    """
    document, problems = _schema.structure(value, Document)
    if document is not None:
        problems = check(document)
    if problems:
        raise exceptions.DocumentError(problems)
    return document


def loads(text):
    """Read a document from TOML text.

    :raises DocumentError: with every problem found.
    """
    try:
        value = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        problem = _schema.Problem("(file)", str(exc), "TOML")
        raise exceptions.DocumentError([problem]) from exc
    return from_plain(value)


def dumps(document):
    """Write a document as TOML text."""
    return tomli_w.dumps(_schema.unstructure(document))


def is_drained(document, name, endpoint):
    """Say whether a drain order covers an endpoint.

    :param document: ``Document``.
    :param name: the endpoint's name.
    :param endpoint: its entry.
    :returns: bool.
    """
    wanted = {
        (DrainKind.ENDPOINT, name),
        (DrainKind.HOST, endpoint.host),
        (DrainKind.DATA_CENTRE, endpoint.data_centre),
    }
    return any(
        (drain.kind, drain.name) in wanted
        for drain in document.drains.values()
    )
