"""The adapter slots of one engine and its next load or unload order.

The code does no I/O and has no clock.  It answers demand for more adapters
than fit, such as many rare ones at once: the least requested adapter makes
room for the most urgent request.  An engine that is ordered to hold more
adapters than it has slots crashes, so this module bounds the number of
adapters.  It need not protect running requests: the engine unloads an
adapter only when no request uses it.
"""

import dataclasses

LOADS_MAX = 4  # loads in progress on one engine at a time
COLD_LOAD_S = 0.30  # load from the weight store, with the wait for it
WARM_LOAD_S = 0.06  # load of an adapter that the engine held recently
RECENT_MAX = 100  # recently held adapters, which load faster
BLOCKED_TIMEOUT_S = 6.0  # until an order that waits for runs may be repeated
LOAD_SETTLE_S = 0.6  # no eviction earlier: the load may be in progress
# If an adapter is missing this long after its last order, the known state
# may be wrong and is read from a report.
LOAD_REPORT_TIMEOUT_S = 4.0


@dataclasses.dataclass(slots=True)
class AdapterSlot:
    """An adapter that occupies one of the engine's slots.

    :param version: version that is loaded or loading.
    :param ready_s: when requests for it may be sent.
    :param since_s: when its last order was given, or when a report
        showed the adapter.
    :param running: granted requests that have not ended.
    :param blocked: an order for it waits for its running requests to
        end; until then the engine accepts no other order.
    """

    version: int
    ready_s: float
    since_s: float
    running: int = 0
    blocked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """The next order for the engine.

    :param load: whether to load the adapter; otherwise it is unloaded.
    :param adapter: adapter key, or the name of a base model.
    :param version: version to load.
    """

    load: bool
    adapter: str
    version: int = 0


class AdapterSlots:
    """The adapter slots of one engine, as this node knows them.

    ``sequence`` is the number of orders that the engine has accepted, or
    None while only a report can tell; no order is planned then.

    :param engine: the ``EngineSpec``.
    :param value: ``(adapter, now_s) -> float``, the adapter's value when
        a victim is chosen; the least valuable one is unloaded first.
    """

    def __init__(self, engine, value):
        self._engine = engine
        self._value = value
        self._recently_held = {}
        self.held = {}
        self.models = ()
        self.model_pending = ""
        self.sequence = None

    def ready(self, adapter, version, now_s):
        """Tell whether requests for a version may be sent."""
        slot = self.held.get(adapter)
        if slot is None or slot.blocked:
            return False
        return slot.version >= version and slot.ready_s <= now_s

    def load_wait_s(self, adapter, version, absent_ahead, now_s, run_s):
        """Estimate how long a new request would wait for its adapter.

        :param absent_ahead: number of other adapters to be loaded first.
        :param run_s: mean run time of requests, after which the slots of
            running requests become free.
        """
        slot = self.held.get(adapter)
        if slot is not None and slot.version >= version and not slot.blocked:
            return max(0.0, slot.ready_s - now_s)
        if slot is not None:
            return COLD_LOAD_S + (run_s if slot.running else 0.0)
        count = self._engine.adapter_slots
        running = sum(slot.running > 0 for slot in self.held.values())
        excess = max(0, absent_ahead + 1 - (count - running))
        turn_s = excess * run_s / max(1, count)
        return turn_s + COLD_LOAD_S * (1 + absent_ahead // LOADS_MAX)

    def load_waits_s(self, requests, now_s, run_s):
        """Estimate the waits of requests for their adapters.

        An adapter slot becomes free when its running requests end, but not
        while a request before wants its adapter.

        :param requests: ``AdmissionRequest`` in the order of their starts.
        :param run_s: mean run time of requests.
        :returns: list of seconds.
        """
        wanted, absent = set(), set()
        idle = sum(not slot.running for slot in self.held.values())
        busy = len(self.held) - idle
        free = self._engine.adapter_slots - busy
        waits_s = []
        for request in requests:
            adapter, version = request.adapter, request.version
            slot = self.held.get(adapter)
            is_held = slot is not None and slot.version >= version
            if "/" not in adapter:
                waits_s.append(0.0)
            elif is_held and not slot.blocked:
                waits_s.append(max(0.0, slot.ready_s - now_s))
            elif slot is not None:
                waits_s.append(COLD_LOAD_S + (run_s if slot.running else 0.0))
            else:
                ahead = len(absent) - (adapter in absent)
                waits_s.append(_turn_s(ahead, free, busy, run_s))
                absent.add(adapter)
            if slot is not None and adapter not in wanted:
                busy -= slot.running > 0
                free -= not slot.running
            wanted.add(adapter)
        return waits_s

    def loads_in_progress(self, now_s):
        """Count the loads in progress."""
        return sum(slot.ready_s > now_s for slot in self.held.values())

    def plan(self, wanted, now_s, loads_max=LOADS_MAX, yielding=frozenset()):
        """Choose the next order.

        :param wanted: pairs of adapter and version, most urgent first.
        :param loads_max: loads in progress at which no other begins.
        :param yielding: wanted adapters that may be unloaded for those that
            are not among them.
        :returns: a ``PlannedOrder`` or None.
        """
        if self.sequence is None:
            return None
        if not self.models:
            return self._plan_model(wanted)
        wanted_names = {adapter for adapter, _ in wanted}
        for adapter, version in wanted:
            model, _, name = adapter.partition("/")
            if not name or model not in self.models:
                continue
            slot = self.held.get(adapter)
            if slot is not None:
                # The engine delays a new version until the running requests
                # of the old one end, and accepts no other order meanwhile.
                stale = slot.version < version and not slot.running
                if stale and self.loads_in_progress(now_s) < loads_max:
                    return PlannedOrder(True, adapter, version)
                continue
            if self.loads_in_progress(now_s) >= loads_max:
                return None
            if len(self.held) < self._engine.adapter_slots:
                return PlannedOrder(True, adapter, version)
            kept = wanted_names
            if adapter not in yielding:
                kept = wanted_names - yielding
            victim = self._eviction_victim(kept, now_s)
            return PlannedOrder(False, victim) if victim else None
        return None

    def _plan_model(self, wanted):
        """Choose the base model for an engine that holds none.

        A restarted engine holds no model, but can load from its disk.
        """
        if self.model_pending:
            return None
        requested = [adapter.partition("/")[0] for adapter, _ in wanted]
        candidates = [
            model.name
            for model in self._engine.models
            if model.weights_mb <= self._engine.weights_mb
        ]
        by_preference = [
            name for name in requested if name in candidates
        ] or candidates
        return PlannedOrder(True, by_preference[0]) if by_preference else None

    def _eviction_victim(self, wanted_names, now_s):
        best = None
        for adapter, slot in self.held.items():
            if slot.running or adapter in wanted_names:
                continue
            if now_s < slot.since_s + LOAD_SETTLE_S:
                continue
            key = (self._value(adapter, now_s), adapter)
            if best is None or key < best:
                best = key
        return best[1] if best else None

    def note_load(self, adapter, version, now_s):
        """Note that the engine accepted a load order."""
        self.sequence += 1
        if "/" not in adapter:
            self.model_pending = adapter
            return
        if adapter in self.held:
            self._block(adapter, now_s)
            return
        delay_s = (
            WARM_LOAD_S if adapter in self._recently_held else COLD_LOAD_S
        )
        self.held[adapter] = AdapterSlot(version, now_s + delay_s, now_s)

    def note_unload(self, adapter):
        """Note that an adapter was unloaded."""
        self.sequence += 1
        self._note_recently_held(adapter)
        self.held.pop(adapter, None)

    def note_deferred_unload(self, adapter, now_s):
        """Note that an unload waits for requests that use the adapter."""
        self._note_recently_held(adapter)
        self._block(adapter, now_s)

    def _block(self, adapter, now_s):
        slot = self.held.get(adapter)
        if slot is not None:
            slot.blocked = True
            slot.since_s = now_s
        self.sequence = None

    def blocked(self, now_s):
        """Tell whether an order that waits for requests blocks all others."""
        return any(
            slot.blocked and now_s - slot.since_s < BLOCKED_TIMEOUT_S
            for slot in self.held.values()
        )

    def _note_recently_held(self, adapter):
        self._recently_held.pop(adapter, None)
        self._recently_held[adapter] = None
        if len(self._recently_held) > RECENT_MAX:
            del self._recently_held[next(iter(self._recently_held))]

    def note_missing(self, adapter, now_s, delay_s=0.08):
        """Note that the engine refused a request for an adapter not loaded.

        The adapter counts as not ready for a while.  If its load was
        ordered long ago, the engine's report decides what to do next.

        :param delay_s: until requests for it may be sent again.
        """
        slot = self.held.get(adapter)
        if slot is None:
            return
        if now_s - slot.since_s > LOAD_REPORT_TIMEOUT_S:
            self.sequence = None
        slot.ready_s = max(slot.ready_s, now_s + delay_s)

    def start(self, adapter):
        """Note that a request for an adapter was granted."""
        slot = self.held.get(adapter)
        if slot is not None:
            slot.running += 1

    def end(self, adapter):
        """Note that a granted request has ended."""
        slot = self.held.get(adapter)
        if slot is not None and slot.running:
            slot.running -= 1

    def apply_report(self, report, now_s):
        """Replace the slots by those of an engine's report.

        A report is some hundred milliseconds old and may not show the
        adapters of the newest orders as loaded; it lists them as pending.
        Counts of running requests are kept, and so are blocks that have
        not timed out.
        """
        old_slots = self.held
        self.held = {}
        self.models = report.models
        if self.model_pending in report.models or not report.busy:
            self.model_pending = ""
        for adapter, version in report.adapters.items():
            if "/" not in adapter:
                continue
            self.held[adapter] = AdapterSlot(version, now_s, now_s)
        for adapter in report.pending:
            if adapter not in self.held:
                self.held[adapter] = AdapterSlot(0, now_s + COLD_LOAD_S, now_s)
        for adapter, slot in old_slots.items():
            new_slot = self.held.get(adapter)
            if new_slot is None:
                continue
            new_slot.running = slot.running
            same_version = new_slot.version == slot.version
            if slot.blocked and same_version:
                new_slot.blocked = now_s - slot.since_s < BLOCKED_TIMEOUT_S
                new_slot.since_s = slot.since_s
        self.sequence = report.sequence


def _turn_s(absent_ahead, free, busy, run_s):
    """Estimate the wait for a slot and a load behind other loads.

    :param free: slots that are empty or can be emptied at once.
    :param busy: slots that become free when running requests end.  Without
        any, one does after the run of the requests that wait for it.
    """
    load_s = COLD_LOAD_S * (1 + absent_ahead // LOADS_MAX)
    excess = max(0, absent_ahead + 1 - free)
    return excess * run_s / max(1, busy) + load_s
