"""From the model name of a request to adapter, version and class."""

import dataclasses

from coltsfootsail import _document
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """What a model name stands for.

    :param adapter: ``name@version``.
    :param priority: name of the priority class.
    """

    adapter: str
    base: str
    team: str
    priority: str


class Router:
    """Rules of one document, indexed by exact name and by prefix."""

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
        found = self._exact.get(model)
        for position, rule in self._prefixes:
            if found is not None and found[0] < position:
                break
            if _document.rule_matches(rule, model):
                return rule
        return found[1] if found else None

    def resolve(self, model):
        """Resolve a model name.

        An explicit ``name@version`` is that adapter and version; rules
        apply to other names only, and a name without a rule means the
        pinned version of the adapter of that name.

        :returns: a ``Resolved``.
        :raises UnknownAdapter: if nothing has this name.
        :raises UnknownVersion: if the adapter has no such version.
        """
        priority = ""
        for _ in range(_document.RULE_DEPTH_MAX):
            name, _, version = model.partition("@")
            adapter = self._document.adapters.get(name)
            if adapter is not None and version:
                return self._found(name, adapter, version, priority)
            rule = self._rule(model)
            if rule is None:
                break
            priority = priority or rule.priority
            model = rule.target
        adapter = self._document.adapters.get(model)
        if adapter is None:
            raise exceptions.UnknownAdapter(f"no adapter {model[:80]!r}")
        return self._found(model, adapter, adapter.pin, priority)

    @staticmethod
    def _found(name, adapter, version, priority):
        if version not in adapter.versions:
            raise exceptions.UnknownVersion(
                f"{name} has no version {version[:80]!r}"
            )
        return Resolved(
            adapter=f"{name}@{version}",
            base=adapter.base,
            team=adapter.team,
            priority=priority or adapter.priority,
        )

    def service(self, path):
        """Find the plain service for a path.

        :returns: tuple of name and ``Service``, or None.
        """
        best = None
        for name, service in self._document.services.items():
            prefix = service.prefix.rstrip("/")
            inside = path == prefix or path.startswith(prefix + "/")
            if inside and (best is None or len(prefix) > len(best[0])):
                best = (prefix, name, service)
        return (best[1], best[2]) if best else None
