"""Resolves model names to adapters, and paths to plain services."""

import dataclasses

from coltsfootsail import _document
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedModel:
    """The adapter and the priority class of a model name.

    :param adapter: ``name@version``.
    :param base: name of the base model.
    :param priority: name of the priority class.
    """

    adapter: str
    base: str
    team: str
    priority: str


class Router:
    """The routing rules of one document, indexed by exact name and prefix."""

    def __init__(self, document):
        self._document = document
        self._exact = {}
        self._prefixes = []
        for position, (_, rule) in enumerate(
            _document.ordered_rules(document)
        ):
            if rule.match.endswith("*"):
                self._prefixes.append((position, rule))
            else:
                self._exact.setdefault(rule.match, (position, rule))

    def _rule(self, model):
        exact = self._exact.get(model)
        for position, rule in self._prefixes:
            if exact is not None and exact[0] < position:
                break
            if _document.rule_matches(rule, model):
                return rule
        return exact[1] if exact else None

    def resolve(self, model):
        """Resolve a model name.

        An explicit ``name@version`` names that adapter and version.  The
        rules apply to other names only; a name that no rule matches is
        the pinned version of the adapter with that name.

        :returns: a ``ResolvedModel``.
        :raises UnknownAdapter: if nothing has this name.
        :raises UnknownVersion: if the adapter has no such version.
        """
        priority = ""
        for _ in range(_document.RULE_DEPTH_MAX):
            name, _, version = model.partition("@")
            adapter = self._document.adapters.get(name)
            if adapter is not None and version:
                return self._resolved_model(name, adapter, version, priority)
            rule = self._rule(model)
            if rule is None:
                break
            priority = priority or rule.priority
            model = rule.target
        adapter = self._document.adapters.get(model)
        if adapter is None:
            raise exceptions.UnknownAdapter(f"no adapter {model[:80]!r}")
        return self._resolved_model(model, adapter, adapter.pin, priority)

    @staticmethod
    def _resolved_model(name, adapter, version, priority):
        if version not in adapter.versions:
            raise exceptions.UnknownVersion(
                f"{name} has no version {version[:80]!r}"
            )
        return ResolvedModel(
            adapter=f"{name}@{version}",
            base=adapter.base,
            team=adapter.team,
            priority=priority or adapter.priority,
        )

    def service(self, path):
        """Find the plain service with the longest prefix of a path.

        :returns: tuple of name and ``Service``, or None.
        """
        longest = None
        for name, service in self._document.services.items():
            prefix = service.prefix.rstrip("/")
            matches = path == prefix or path.startswith(prefix + "/")
            if matches and (longest is None or len(prefix) > len(longest[0])):
                longest = (prefix, name, service)
        return (longest[1], longest[2]) if longest else None
