"""The engines that this node gives orders to, one ``Orderer`` each.

They follow the node's claims: an engine that is claimed gets an orderer,
one whose claim is lost has its waiting requests turned away at once.
"""

import trio

from coltsfootsail import _logs
from coltsfootsail import _orderer

RESET_S = 0.3  # how often the set of owned engines is checked
LOAD_STEP_S = 0.05  # resolution of the backlog sent to peers


class Owned:
    """Orderers by engine, and the backlogs that other owners tell.

    :param claims: the node's ``Claims``.
    :param view: a ``DeploymentView``.
    :param tools: ``_orderer.Tools`` for all of them.
    """

    def __init__(self, claims, view, tools):
        self._claims = claims
        self._view = view
        self._tools = tools
        self._nursery = None
        self._scopes = {}
        self._told = {}
        self.orderers = {}

    # -- backlogs ---------------------------------------------------

    def backlog_s(self, server):
        """Estimate the wait for a start on an engine, whoever owns it."""
        orderer = self.orderers.get(server)
        if orderer is not None:
            return orderer.backlog_s()
        return self._told.get(server, 0) * LOAD_STEP_S

    def levels(self):
        """List the backlog of each owned engine, in steps."""
        return {
            name: int(orderer.backlog_s() / LOAD_STEP_S)
            for name, orderer in self.orderers.items()
        }

    def learn(self, loads):
        """Take the levels that another owner tells."""
        self._told.update(loads)

    def learn_backlog(self, server, backlog_s):
        """Take an engine's backlog from its owner's reply."""
        self._told[server] = int(backlog_s / LOAD_STEP_S)

    def sweep(self):
        """Forget the levels of engines that are gone."""
        for name in [n for n in self._told if self._view.leaving(n)]:
            del self._told[name]

    # -- orderers ---------------------------------------------------

    def turn_leaving_away(self):
        """Turn away what waits for engines that take nothing new."""
        for name, orderer in self.orderers.items():
            if self._view.leaving(name):
                orderer.close("engine leaving")

    def sync(self):
        """Start and stop orderers as the claims say."""
        if self._nursery is None:
            return
        held = self._claims.held
        for name in [name for name in self.orderers if name not in held]:
            self.orderers.pop(name).close("not the owner")
            self._scopes.pop(name).cancel()
        for name in held:
            if name not in self.orderers:
                self._start(name)

    def _start(self, name):
        server = self._view.servers.get(name)
        engine = None if server is None else self._view.engine(server)
        if engine is None:
            return
        orderer = _orderer.Orderer(server, engine, self._claims, self._tools)
        self.orderers[name] = orderer
        self._scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run_one, name, orderer)

    async def _run_one(self, name, orderer):
        with self._scopes[name]:
            try:
                await orderer.run()
            except Exception as exc:
                # The next round starts it anew from the engine's report.
                _logs.failure("orderer_failed", exc)
                orderer.close("engine down")
                self.orderers.pop(name, None)

    async def run(self):
        """Follow the claims for as long as the task runs."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self.sync()
                await trio.sleep(RESET_S)
