"""The engines that this node owns, with one ``EngineController`` each.

The set follows the node's claims: a claimed engine gets a controller, and
when a claim is lost, the waiting requests are rejected at once.
"""

import trio

from coltsfootsail import _controllers
from coltsfootsail import _engine_controller
from coltsfootsail import _grants
from coltsfootsail import _logs
from coltsfootsail import _tasks

SYNC_INTERVAL_S = 0.3  # between comparisons with the claims
BACKLOG_STEP_S = 0.05  # resolution of the backlogs sent to peers


class OwnedEngines:
    """Controllers of owned engines, and the backlogs of all engines.

    :param claims: the node's ``EngineClaims``.
    :param view: a ``DeploymentView``.
    :param states: the node's ``ServerStates``.
    :param dependencies: ``ControllerDependencies`` of all controllers.
    """

    def __init__(self, claims, view, states, dependencies):
        self._claims = claims
        self._view = view
        self._states = states
        self._dependencies = dependencies
        # The next sync replaces one that failed by another, which reads the
        # engine's state from a report.
        self._table = _controllers.ControllerTable(
            dependencies.metrics.count,
            lambda name, exc: _logs.failure(
                "orderer_failed", exc, server=name
            ),
            "engine down",
        )
        self._peer_backlogs = {}
        self.controllers = self._table.by_name

    def backlog_s(self, name):
        """Estimate the wait for a grant on an engine, own or not.

        :param name: the engine's name.
        """
        controller = self.controllers.get(name)
        if controller is not None:
            return controller.backlog_s()
        return self._peer_backlogs.get(name, 0) * BACKLOG_STEP_S

    def backlogs(self):
        """Get the backlog of each owned engine.

        :returns: dict of engine name to multiple of ``BACKLOG_STEP_S``.
        """
        return {
            name: int(controller.backlog_s() / BACKLOG_STEP_S)
            for name, controller in self.controllers.items()
        }

    def record_peer_backlogs(self, backlogs):
        """Store the backlogs that another node sent in a heartbeat.

        :param backlogs: pairs of engine name and multiple of
            ``BACKLOG_STEP_S``.
        """
        self._peer_backlogs.update(backlogs)

    def record_backlog(self, name, backlog_s):
        """Store the backlog that an engine's owner sent with a reply."""
        self._peer_backlogs[name] = int(backlog_s / BACKLOG_STEP_S)

    def sweep(self):
        """Remove the backlogs of engines that are gone or leaving."""
        for name in [
            n for n in self._peer_backlogs if self._states.is_unavailable(n)
        ]:
            del self._peer_backlogs[name]

    def restart(self, name, born_ms):
        """Forget all of an engine that has started again.

        :param born_ms: its present start.
        """
        self._peer_backlogs.pop(name, None)
        if name in self.controllers:
            self.controllers[name].restart(self._view.servers[name], born_ms)

    def turn_away_from_unavailable(self):
        """Reject requests that wait for engines which are gone or leaving."""
        for name in self.controllers:
            self.turn_away_if_closed(name)

    def turn_away_if_closed(self, name):
        """Reject requests that wait for an engine which takes none now."""
        controller = self.controllers.get(name)
        if controller is None:
            return
        if self._states.is_unavailable(name):
            controller.turn_away_waiting("engine leaving")
        elif self._states.busy_for_all_s(name):
            controller.turn_away_waiting(
                _grants.SERVER_BUSY, self._states.busy_for_all_s(name)
            )

    def sync_with_claims(self):
        """Start and stop controllers so that they match the claims."""
        held = self._claims.held
        self._table.keep(held, "not the owner")
        for name in held:
            if name not in self.controllers:
                self._start_controller(name)

    def _start_controller(self, name):
        server = self._view.servers.get(name)
        engine = None if server is None else self._view.engine_spec(server)
        if engine is None:
            return
        controller = _engine_controller.EngineController(
            server, engine, self._claims, self._dependencies
        )
        self._table.start(name, controller)

    async def run(self):
        """Follow the claims until cancelled."""
        count = self._dependencies.metrics.count
        async with self._table.opened():
            while True:
                _tasks.call_contained("claims", count, self.sync_with_claims)
                await trio.sleep(SYNC_INTERVAL_S)
