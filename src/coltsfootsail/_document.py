"""The configuration document: its data classes and its validation.

The document is a set of entries, each identified by a section and a key,
such as ``adapters/gift-note-0001``.  Operators change the behaviour of the
system at run time only by changing entries.
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
    """What a drain takes out of use."""

    ENDPOINT = "endpoint"
    HOST = "host"
    DATA_CENTRE = "data_centre"


class EndpointKind(enum.StrEnum):
    """What an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A LoRA adapter of a base model.

    :param base: name of the base model.
    :param pin: the version that serves requests without a version.
    :param priority: name of its priority class.
    :param load_bytes: size of the adapter in bytes.
    """

    base: str
    versions: tuple[str, ...]
    pin: str
    priority: str = "standard"
    team: str = ""
    load_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Routes requests for one model name to another.

    Rules are tried by ascending ``order``, then by name.

    :param match: an exact model name, or a prefix followed by ``*``.
    :param target: the model name to use instead.
    :param priority: name of a priority class that replaces the adapter's.
    """

    match: str
    target: str
    order: int = 100
    priority: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityClass:
    """A priority class; requests of a lower rank are served first."""

    rank: int
    protected: bool = False
    max_wait_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that is not a model engine.

    Calls other than GET and HEAD run at most once, except on the paths in
    ``idempotent_paths``.
    """

    prefix: str
    idempotent_paths: tuple[str, ...] = ()
    priority: str = "standard"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A model engine or an instance of a service.

    :param base: base model of an engine.
    :param service: name of the service of an instance.
    :param slots: how many adapters an engine holds at once.
    :param batch: how many requests an engine runs at once.
    :param fencing: whether an engine rejects orders of former owners.
    :param region: region whose nodes may own it; empty for any region.
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
    """Limits that apply on every node."""

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

    :returns: the entry ``limits/default``, or the default values.
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


def _class_problems(document, path, name):
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
        yield from _class_problems(
            document, f"{path}.priority", adapter.priority
        )


def ordered_rules(document):
    """List the rules in the order in which they are tried.

    :returns: list of pairs of name and ``Rule``.
    """
    return sorted(
        document.rules.items(), key=lambda item: (item[1].order, item[0])
    )


def rule_matches(rule, model):
    """Tell whether a rule applies to a model name."""
    if rule.match.endswith("*"):
        return model.startswith(rule.match[:-1])
    return rule.match == model


def _shadows(earlier, later):
    """Tell whether the earlier rule matches all names the later matches."""
    if earlier.match == later.match:
        return True
    if not earlier.match.endswith("*"):
        return False
    return later.match.rstrip("*").startswith(earlier.match[:-1])


def _unreachable_rule_problems(rules):
    for position, (name, rule) in enumerate(rules):
        for earlier_name, earlier in rules[:position]:
            if _shadows(earlier, rule):
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
        entry = document.adapters.get(adapter)
        if entry is None and _first_matching_rule(rules, rule.target) is None:
            yield _problem(f"{path}.target", rule.target, "a known adapter")
        if entry is not None and version and version not in entry.versions:
            yield _problem(f"{path}.target", rule.target, "a known version")
        if _is_in_loop(rules, rule.target):
            yield _problem(f"{path}.target", rule.target, "no loop of rules")
        yield from _class_problems(document, f"{path}.priority", rule.priority)
    yield from _unreachable_rule_problems(rules)


def _first_matching_rule(rules, model):
    for _, rule in rules:
        if rule_matches(rule, model):
            return rule
    return None


def _is_in_loop(rules, model):
    """Tell whether a model name is still rewritten after the most steps."""
    for _ in range(RULE_DEPTH_MAX):
        rule = _first_matching_rule(rules, model)
        if rule is None:
            return False
        model = rule.target
    return True


def _endpoint_problems(document):
    for name, endpoint in document.endpoints.items():
        path = f"endpoints.{name}"
        is_engine = endpoint.kind is EndpointKind.ENGINE
        if is_engine and endpoint.slots < 1:
            yield _problem(f"{path}.slots", endpoint.slots, "at least 1")
        if is_engine and endpoint.batch < 1:
            yield _problem(f"{path}.batch", endpoint.batch, "at least 1")
        if not is_engine and endpoint.service not in document.services:
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
    for name, priority_class in document.classes.items():
        if not priority_class.max_wait_s > 0:
            yield _problem(
                f"classes.{name}.max_wait_s",
                priority_class.max_wait_s,
                "more than 0",
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
    """Validate a document as a whole.

    :param document: ``Document``.
    :returns: list of ``Problem``, empty if the document is valid.
    """
    return [problem for validate in _CHECKS for problem in validate(document)]


def from_plain(value):
    """Build and validate a document.

    :param value: dict of section name to dict of entries.
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
    """Tell whether a drain applies to an endpoint.

    :param document: ``Document``.
    :param name: the endpoint's name.
    :param endpoint: its entry.
    :returns: bool.
    """
    targets = {
        (DrainKind.ENDPOINT, name),
        (DrainKind.HOST, endpoint.host),
        (DrainKind.DATA_CENTRE, endpoint.data_centre),
    }
    return any(
        (drain.kind, drain.name) in targets
        for drain in document.drains.values()
    )
