"""What one engine holds, and which order to give it next.

Pure: state and time in, a decision out.  The engine drops an adapter only
when no request uses it, so the book guards places, not requests: an
engine that is ordered to hold more than its places crashes.
"""

import dataclasses

IN_TRANSIT_MAX = 4  # adapters on their way to one engine at a time
COLD_S = 0.30  # a load from the weight store, its place in time included
WARM_S = 0.06  # a load of an adapter that the engine held recently
RECENT_MAX = 100  # adapters that an engine is taken to hold recently
BLOCKED_MAX_S = 6.0  # longer than most runs; then the order is repeated
SETTLED_S = 0.6  # until then a load may still be under way
PENDING_MAX_S = 4.0  # a load not reported by then is asked for again


@dataclasses.dataclass(slots=True)
class Place:
    """An adapter that takes one of the engine's places.

    :param version: version held, or on its way.
    :param ready_s: when requests for it may be sent.
    :param blocked: an order for it waits for its runs to end; until
        then the engine takes no other.
    """

    version: int
    ready_s: float
    since_s: float
    running: int = 0
    blocked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The next order.

    :param load: whether to load; otherwise the adapter is dropped.
    :param adapter: adapter key, or the name of a base model.
    """

    load: bool
    adapter: str
    version: int = 0


class Book:
    """Places of one engine.

    :param engine: the ``EngineSpec``.
    :param value: ``(adapter, now_s) -> float``, worth of keeping it.
    """

    def __init__(self, engine, value):
        self._engine = engine
        self._value = value
        self._recent = {}
        self.held = {}
        self.models = ()
        self.model_pending = ""
        self.sequence = None

    # -- queries ----------------------------------------------------

    def ready(self, adapter, version, now_s):
        """Say whether a request may be sent for a version."""
        place = self.held.get(adapter)
        if place is None or place.blocked:
            return False
        return place.version >= version and place.ready_s <= now_s

    def in_transit(self, now_s):
        """Count the loads that are under way."""
        return sum(place.ready_s > now_s for place in self.held.values())

    # -- planning ---------------------------------------------------

    def plan(self, wanted, now_s, transit_max=IN_TRANSIT_MAX):
        """Choose the next order.

        :param wanted: pairs of adapter and version, most urgent first.
        :returns: a ``Plan`` or None.
        """
        if self.sequence is None:
            return None
        if not self.models:
            return self._plan_model(wanted)
        needed = {adapter for adapter, _ in wanted}
        for adapter, version in wanted:
            model, _, name = adapter.partition("/")
            if not name or model not in self.models:
                continue
            place = self.held.get(adapter)
            if place is not None:
                # A replacement waits for its runs and bars other orders.
                stale = place.version < version and not place.running
                if stale and self.in_transit(now_s) < transit_max:
                    return Plan(True, adapter, version)
                continue
            if self.in_transit(now_s) >= transit_max:
                return None
            if len(self.held) < self._engine.adapter_slots:
                return Plan(True, adapter, version)
            victim = self._victim(needed, now_s)
            return Plan(False, victim) if victim else None
        return None

    def _plan_model(self, wanted):
        """Choose the base model of an engine that holds none.

        An engine that has restarted is empty; its disk is not.
        """
        if self.model_pending:
            return None
        asked = [adapter.partition("/")[0] for adapter, _ in wanted]
        fits = [
            model.name
            for model in self._engine.models
            if model.weights_mb <= self._engine.weights_mb
        ]
        ranked = [name for name in asked if name in fits] or fits
        return Plan(True, ranked[0]) if ranked else None

    def _victim(self, needed, now_s):
        best = None
        for adapter, place in self.held.items():
            if place.running or adapter in needed:
                continue
            if now_s < place.since_s + SETTLED_S:
                continue
            entry = (self._value(adapter, now_s), adapter)
            if best is None or entry < best:
                best = entry
        return best[1] if best else None

    # -- what was done ----------------------------------------------

    def loading(self, adapter, version, now_s):
        """Note that a load was accepted."""
        self.sequence += 1
        if "/" not in adapter:
            self.model_pending = adapter
            return
        if adapter in self.held:
            self._block(adapter, now_s)
            return
        delay_s = WARM_S if adapter in self._recent else COLD_S
        self.held[adapter] = Place(version, now_s + delay_s, now_s)

    def dropped(self, adapter):
        """Note that an unload is complete."""
        self.sequence += 1
        self._remember(adapter)
        self.held.pop(adapter, None)

    def waits(self, adapter, now_s):
        """Note that an unload waits for runs that use the adapter."""
        self._remember(adapter)
        self._block(adapter, now_s)

    def _block(self, adapter, now_s):
        place = self.held.get(adapter)
        if place is not None:
            place.blocked = True
            place.since_s = now_s
        self.sequence = None

    def blocked(self, now_s):
        """Say whether an order waits for runs and bars all others."""
        return any(
            place.blocked and now_s - place.since_s < BLOCKED_MAX_S
            for place in self.held.values()
        )

    def _remember(self, adapter):
        self._recent.pop(adapter, None)
        self._recent[adapter] = None
        if len(self._recent) > RECENT_MAX:
            del self._recent[next(iter(self._recent))]

    def absent(self, adapter, now_s, delay_s=0.08):
        """Note that the engine said it does not hold an adapter yet."""
        place = self.held.get(adapter)
        if place is None:
            return
        if now_s - place.since_s > PENDING_MAX_S:
            self.sequence = None
        place.ready_s = max(place.ready_s, now_s + delay_s)

    def start(self, adapter):
        """Note that a request for an adapter was granted."""
        place = self.held.get(adapter)
        if place is not None:
            place.running += 1

    def end(self, adapter):
        """Note that a granted request has ended."""
        place = self.held.get(adapter)
        if place is not None and place.running:
            place.running -= 1

    def take_report(self, report, now_s):
        """Replace the book by an engine's report.

        The report is some hundred milliseconds late: adapters that were
        ordered since stay, as their order is in the sequence.
        """
        old = self.held
        self.held = {}
        self.models = report.models
        if self.model_pending in report.models or not report.busy:
            self.model_pending = ""
        for adapter, version in report.adapters.items():
            if "/" not in adapter:
                continue
            self.held[adapter] = Place(version, now_s, now_s)
        for adapter in report.pending:
            if adapter not in self.held:
                self.held[adapter] = Place(0, now_s + COLD_S, now_s)
        for adapter, place in old.items():
            found = self.held.get(adapter)
            if found is None:
                continue
            found.running = place.running
            same = found.version == place.version
            if place.blocked and same:
                found.blocked = now_s - place.since_s < BLOCKED_MAX_S
                found.since_s = place.since_s
        self.sequence = report.sequence
