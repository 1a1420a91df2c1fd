"""The engines that this node gives orders to, one ``EngineController`` each.

They follow the node's claims: an engine that is claimed gets an orderer,
one whose claim is lost has its waiting requests turned away at once.
"""

import trio

from coltsfootsail import _engine_controller
from coltsfootsail import _logs

SYNC_INTERVAL_S = 0.3  # how often the set of owned engines is checked
BACKLOG_STEP_S = 0.05  # resolution of the backlog sent to peers


class OwnedEngines:
    """Orderers by engine, and the backlogs that other owners tell.

    :param claims: the node's ``Claims``.
    :param view: a ``DeploymentView``.
    :param tools: ``_orderer.ControllerDependencies`` for all of them.
    """

    def __init__(self, claims, view, dependencies):
        self._claims = claims
        self._view = view
        self._dependencies = dependencies
        self._nursery = None
        self._scopes = {}
        self._peer_levels = {}
        self.controllers = {}

    # -- backlogs ---------------------------------------------------

    def backlog_s(self, server):
        """Estimate the wait for a start on an engine, whoever owns it."""
        controller = self.controllers.get(server)
        if controller is not None:
            return controller.backlog_s()
        return self._peer_levels.get(server, 0) * BACKLOG_STEP_S

    def backlogs(self):
        """List the backlog of each owned engine, in steps."""
        return {
            name: int(controller.backlog_s() / BACKLOG_STEP_S)
            for name, controller in self.controllers.items()
        }

    def record_peer_levels(self, levels):
        """Take the levels that another owner tells."""
        self._peer_levels.update(levels)

    def record_backlog(self, server, backlog_s):
        """Take an engine's backlog from its owner's reply."""
        self._peer_levels[server] = int(backlog_s / BACKLOG_STEP_S)

    def sweep(self):
        """Forget the levels of engines that are gone."""
        for name in [
            n for n in self._peer_levels if self._view.is_unavailable(n)
        ]:
            del self._peer_levels[name]

    # -- orderers ---------------------------------------------------

    def turn_away_from_unavailable(self):
        """Turn away what waits for engines that take nothing new."""
        for name, controller in self.controllers.items():
            if self._view.is_unavailable(name):
                controller.turn_away_waiting("engine leaving")

    def sync_with_claims(self):
        """Start and stop orderers as the claims say."""
        if self._nursery is None:
            return
        held = self._claims.held
        for name in [name for name in self.controllers if name not in held]:
            self.controllers.pop(name).turn_away_waiting("not the owner")
            self._scopes.pop(name).cancel()
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
        self.controllers[name] = controller
        self._scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run_controller, name, controller)

    async def _run_controller(self, name, controller):
        with self._scopes[name]:
            try:
                await controller.run()
            except Exception as exc:
                # The next round starts it anew from the engine's report.
                _logs.failure("orderer_failed", exc)
                controller.turn_away_waiting("engine down")
                self.controllers.pop(name, None)

    async def run(self):
        """Follow the claims for as long as the task runs."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self.sync_with_claims()
                await trio.sleep(SYNC_INTERVAL_S)
