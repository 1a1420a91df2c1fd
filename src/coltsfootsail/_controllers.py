"""Controllers of servers, one for each server that a node controls."""

import trio

from coltsfootsail import _tasks


class ControllerTable:
    """Runs a controller for each server, and removes one that fails.

    A controller has ``async run()`` and ``turn_away_waiting(reason)``.

    :param count: ``(counter, reason)``.
    :param log_failure: ``(server name, exception)``.
    :param failure_reason: told to the requests that wait for a controller
        that fails.

    ``by_name`` has the controllers by the names of their servers.
    """

    def __init__(self, count, log_failure, failure_reason):
        self._count = count
        self._log_failure = log_failure
        self._failure_reason = failure_reason
        self._tasks = _tasks.TaskGroup("server", count)
        self._scopes = {}
        self.by_name = {}

    def start(self, name, controller):
        """Start to run the controller of a server that has none.

        :param name: the server's name.
        """
        scope = trio.CancelScope()
        self.by_name[name] = controller
        self._scopes[name] = scope
        # By the time that the task begins, they may have been replaced.
        self._tasks.start_soon(self._run, name, controller, scope)

    async def _run(self, name, controller, scope):
        # The scope is the inner one: an error as it is cancelled comes in a
        # group with the cancellation until then.
        try:
            with scope:
                await controller.run()
        except Exception as exc:
            self._count("task_errors", "server")
            self._log_failure(name, exc)
            if self.by_name.get(name) is controller:
                del self.by_name[name], self._scopes[name]
            controller.turn_away_waiting(self._failure_reason)

    def keep(self, names, reason):
        """Stop the controllers of the servers that are not in ``names``.

        :param reason: told to the requests that wait for them.
        """
        for name in [name for name in self.by_name if name not in names]:
            self.by_name.pop(name).turn_away_waiting(reason)
            self._scopes.pop(name).cancel()

    def opened(self):
        """Run the controllers until the end of the block."""
        return self._tasks.opened()
