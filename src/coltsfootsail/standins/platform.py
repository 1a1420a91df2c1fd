"""Stand-ins for the weight store, the host list and plain services."""

import collections
import enum

import trio

from coltsfootsail import _http

LIMITS = _http.HttpLimits(idle_timeout_s=3600.0)


class WeightStoreStandIn:
    """A weight store that loads one adapter at a time.

    ``waited_s`` is the total time that loads waited for others.

    :param loads_per_s: loads per second, over all engines.
    """

    def __init__(self, loads_per_s):
        self.loads_per_s = loads_per_s
        self.loads = 0
        self.waited_s = 0.0
        self._lock = trio.Lock()

    async def load(self, adapter):
        """Load an adapter; return when it is loaded."""
        requested_s = trio.current_time()
        async with self._lock:
            self.waited_s += trio.current_time() - requested_s
            await trio.sleep(1.0 / self.loads_per_s)
            self.loads += 1


class HostListStandIn:
    """A list of live and leaving hosts that shows changes with a delay.

    :param hosts: dict of host name to data centre.
    :param lag_s: delay until a change is shown.
    """

    def __init__(self, hosts, lag_s=1.0):
        self.lag_s = lag_s
        self.down = False
        self._hosts = dict(hosts)
        self._changes = [(float("-inf"), name, "live") for name in hosts]

    def set_state(self, host, state):
        """Change a host's state to ``live``, ``leaving`` or ``gone``."""
        self._changes.append((trio.current_time(), host, state))

    def shown(self):
        """Get the states that the list shows now.

        :returns: dict of host name to state.
        """
        shown_until_s = trio.current_time() - self.lag_s
        states = {}
        for at_s, host, state in self._changes:
            if at_s <= shown_until_s:
                states[host] = state
        return states

    async def serve(self, stream):
        """Serve one connection."""
        await _http.serve_connection(stream, LIMITS, self._handle)

    async def _handle(self, req, resp):
        if self.down:
            await trio.sleep_forever()
        hosts = [
            {"name": name, "data_centre": self._hosts[name], "state": state}
            for name, state in self.shown().items()
            if state != "gone"
        ]
        await resp.reply_json({"hosts": hosts})


class ServiceFault(enum.Enum):
    """Faults of a plain service."""

    NONE = "none"
    SILENT = "silent"
    LOST_REPLY = "lost_reply"
    REFUSED = "refused"


class ServiceStandIn:
    """A plain service that counts runs by idempotency key."""

    def __init__(self, name, answer_s=0.01):
        self.name = name
        self.answer_s = answer_s
        self.fault = ServiceFault.NONE
        self.runs = collections.Counter()
        self.calls = []

    async def serve(self, stream):
        """Serve one connection."""
        await _http.serve_connection(stream, LIMITS, self._handle)

    async def _handle(self, req, resp):
        if self.fault is ServiceFault.SILENT:
            await trio.sleep_forever()
        if self.fault is ServiceFault.REFUSED:
            await resp.reply_json({"error": "busy"}, 503)
            return
        key = req.header("idempotency-key")
        self.runs[key] += bool(key)
        self.calls.append((req.method, req.path, key))
        await trio.sleep(self.answer_s)
        if self.fault is ServiceFault.LOST_REPLY:
            return
        answer = {
            "service": self.name,
            "path": req.path,
            "run": self.runs[key] if key else 0,
            "echo": req.body.decode("utf-8", "replace"),
        }
        headers = [("x-request-id", req.header("x-request-id"))]
        await resp.reply_json(answer, headers=headers)
