"""The weight store, the host list and the plain services."""

import collections
import enum

import trio

from coltsfootsail import _http

LIMITS = _http.HttpLimits(idle_timeout_s=3600.0)


class WeightStoreStandIn:
    """Loads one adapter at a time at full speed.

    :param loads_per_s: its rate; concurrent loads share it.
    """

    def __init__(self, loads_per_s):
        self.loads_per_s = loads_per_s
        self.loads = 0
        self.waited_s = 0.0
        self._turn = trio.Lock()

    async def load(self, adapter):
        """Wait for a load to be done."""
        asked_s = trio.current_time()
        async with self._turn:
            self.waited_s += trio.current_time() - asked_s
            await trio.sleep(1.0 / self.loads_per_s)
            self.loads += 1


class HostListStandIn:
    """Lists live and leaving hosts, later than they change.

    :param hosts: dict of host name to data centre.
    :param lag_s: how old its answers are.
    """

    def __init__(self, hosts, lag_s=1.0):
        self.lag_s = lag_s
        self.down = False
        self._hosts = dict(hosts)
        self._changes = [(float("-inf"), name, "live") for name in hosts]

    def set_state(self, host, state):
        """Set a host ``live``, ``leaving`` or ``gone``."""
        self._changes.append((trio.current_time(), host, state))

    def shown(self):
        """Tell the states that the list shows now."""
        limit_s = trio.current_time() - self.lag_s
        states = {}
        for at_s, host, state in self._changes:
            if at_s <= limit_s:
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
    """What goes wrong with a plain service."""

    NONE = "none"
    SILENT = "silent"
    LOST_REPLY = "lost_reply"
    REFUSED = "refused"


class ServiceStandIn:
    """A storefront or counter service that counts runs by key."""

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
