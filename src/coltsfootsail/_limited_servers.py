"""Starts at plain servers that are limited or brittle, over all nodes.

Engines have an owner that grants every start.  A plain server gets one
while it names a limit or states that it is brittle: of the nodes that are
ready, the one that ranks first for the server's address.  Another node that
takes its place begins with no start to give, so that both together keep to
the limit.

A brittle server is given no more requests at once than it runs, so that it
has none to refuse.
"""

import itertools
import math

import trio

from coltsfootsail import _admission
from coltsfootsail import _controllers
from coltsfootsail import _engine_selection
from coltsfootsail import _grants
from coltsfootsail import _logs
from coltsfootsail import _placement
from coltsfootsail import _wire

IDLE_WAIT_S = 1.0  # longest pause of the loop
START_PAUSE_S = 0.2  # before a new controller's first start


class LimitController:
    """Grants the starts at one plain server, under its limit.

    :param limit_per_s: closure that gets the limit.
    :param refusals_per_s: closure that gets the refusals that the server can
        bear, infinite if it is not brittle.
    :param slots: requests that the server runs at once.
    :param now: closure that reads the clock.
    """

    def __init__(self, limit_per_s, refusals_per_s, slots, now):
        self._limit_per_s = limit_per_s
        self._refusals_per_s = refusals_per_s
        self._slots = slots
        self._now = now
        self._numbers = itertools.count(1)
        self._replies = {}
        self._wake = trio.Event()
        self.queue = _admission.AdmissionQueue(math.inf, math.inf)
        # The node before this one may have filled the server.
        self.queue.pause_until(self._now() + START_PAUSE_S)
        self._apply_limit()

    def _apply_limit(self):
        self.queue.set_limit(self._limit_per_s(), self._now())
        is_brittle = self._refusals_per_s() < math.inf
        self.queue.set_slots(self._slots if is_brittle else math.inf)

    def check_grantable(self, request):
        """Accept every request: no state of the server excludes any."""

    def uncached_tokens(self, request):
        """Get the prompt tokens to process, none on a plain server."""
        return 0

    def adapter_state(self, request):
        """Name the state of a request's adapter, for the log."""
        return "plain"

    def backlog_s(self):
        """Estimate how long a new request would wait for a grant."""
        self._apply_limit()
        return self.queue.backlog_s(self._now())

    def enqueue(self, grant_request, create_admission_request, reply):
        """Queue a request, as ``EngineController.enqueue``."""
        self._apply_limit()
        request = create_admission_request(next(self._numbers))
        rejection = self.queue.add(request)
        if rejection is not None:
            reply(rejection)
            return request.number
        self._replies[request.number] = request, reply
        try:
            self._decide()
        except Exception:
            self.end_grant(request.number, grant_request, _grants.GrantUse())
            raise
        self._wake.set()
        return request.number

    def end_grant(self, number, grant_request, use):
        """Remove a request that has ended or been withdrawn."""
        try:
            if use.outcome is _grants.GrantOutcome.FULL:
                self.queue.note_refused(self._refusals_per_s(), self._now())
        finally:
            self._replies.pop(number, None)
            self.queue.withdraw(number)
            self._wake.set()

    def turn_away_waiting(self, reason):
        """Reject all waiting requests, so that they try other servers.

        After an error some may have been decided, but not told so.
        """
        for request, _ in list(self._replies.values()):
            self.queue.withdraw(request.number)
            self._deliver(_admission.TurnAway(request, 0.1, reason))

    def _deliver(self, decision):
        number = decision.request.number
        if number in self._replies:
            _, reply = self._replies[number]
            reply(decision)
            del self._replies[number]

    def _decide(self):
        self._apply_limit()
        for decision in self.queue.decide(self._now(), lambda *adapter: True):
            self._deliver(decision)

    async def run(self):
        """Grant requests until cancelled."""
        while True:
            self._decide()
            self._wake = trio.Event()
            now_s = self._now()
            due_s = self.queue.next_decision_s(now_s)
            pause_s = IDLE_WAIT_S if due_s is None else due_s - now_s
            with trio.move_on_after(min(IDLE_WAIT_S, max(0.004, pause_s))):
                await self._wake.wait()


class LimitedServers:
    """The plain servers that name a limit, and who grants their starts.

    :param node: this node's name.
    :param view: a ``DeploymentView``.
    :param mesh: a ``Mesh``.
    :param limits: the node's ``ServerLimits`` of requests.
    :param refusals: the node's ``ServerLimits`` of refusals.
    :param is_ready: closure that tells whether this node serves callers.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self, node, view, mesh, limits, refusals, is_ready, now, count
    ):
        self._node = node
        self._view = view
        self._mesh = mesh
        self._limits = limits
        self._refusals = refusals
        self._is_ready = is_ready
        self._now = now
        # The next request replaces one that failed.
        self._table = _controllers.ControllerTable(
            count,
            lambda name, exc: _logs.failure(
                "limiter_failed", exc, server=name
            ),
            _grants.SERVER_CLOSED,
        )
        self._free_at_s = {}

    def _ready_nodes(self):
        """List the nodes that may grant starts, this one if it is alone."""
        nodes = [
            node
            for node, heartbeat in self._mesh.heartbeats().items()
            if heartbeat.ready
            and self._mesh.knows(node, _wire.ServerLimit)
            and self._mesh.unanswered_ping_s(node)
            <= _engine_selection.OWNER_SILENCE_MAX_S
        ]
        if self._is_ready() or not nodes:
            nodes.append(self._node)
        return tuple(sorted(nodes))

    def owner(self, server):
        """Get the node that grants the starts at a limited server."""
        return _placement.rendezvous_ranking(
            server.address, self._ready_nodes(), 1
        )[0]

    def controller(self, name):
        """Get the controller of a plain server, None for other servers.

        Whoever is asked grants: nodes may differ for a moment in who they
        reach.
        """
        server = self._view.servers.get(name)
        if server is None or self._view.engine_spec(server) is not None:
            return None
        if name not in self._table.by_name:
            controller = LimitController(
                lambda: self._limits.per_s(name),
                lambda: self._refusals.per_s(name),
                max(1, server.slots),
                self._now,
            )
            self._table.start(name, controller)
        return self._table.by_name[name]

    def needs_grant(self, name):
        """Tell whether a plain server's starts are granted by one node."""
        is_limited = self._limits.is_limited(name)
        return is_limited or self._refusals.is_limited(name)

    def record_wait(self, name, wait_s):
        """Store the wait for a grant that an owner sent with a reply."""
        self._free_at_s[name] = self._now() + wait_s

    def wait_s(self, name):
        """Estimate the wait for a grant at a server, 0 without a limit."""
        if not self.needs_grant(name):
            return 0.0
        return max(0.0, self._free_at_s.get(name, 0.0) - self._now())

    def keep(self, names):
        """Forget the servers that are not in ``names``."""
        for name in [name for name in self._free_at_s if name not in names]:
            del self._free_at_s[name]
        self._table.keep(names, "engine leaving")

    async def run(self):
        """Run the controllers until cancelled."""
        async with self._table.opened():
            await trio.sleep_forever()
