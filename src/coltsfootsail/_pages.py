"""A gateway's small pages: readiness, addresses, metrics and status."""

from coltsfootsail import _http
from coltsfootsail import _records
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

ADDRESSES_MAX = 64
ADDRESS_TTL_S = 2
NEAR_MIN = 2  # hosts of a data centre that may serve its callers alone
START_RETRY_S = 0.5
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
METRICS_KIND = ("content-type", "text/plain; version=0.0.4")
STATUS_QUANTILE = 0.95


class Pages:
    """Answers what is asked about one node.

    :param gateway: the ``Gateway``.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._watch_gauges(gateway.metrics.register_gauge)

    def _watch_gauges(self, watch):
        gateway = self._gateway
        view, lease = gateway.view, gateway.lease
        orderers = gateway.owned.orderers
        watch("configuration_version", lambda: {"": view.deployment.version})
        watch("configuration_age_seconds", lambda: _known(view.age_s()))
        watch("servers", view.service_counts)
        watch("claims", lambda: {"": len(gateway.claims.held)})
        watch("lease_left_seconds", lambda: {"": lease.left_s()})
        watch("open_requests", lambda: {"": gateway.serving.active})
        watch("linked_nodes", lambda: {"": len(gateway.mesh.linked_nodes())})
        watch("nodes", lambda: {"": view.member_count()})
        watch(
            "waiting",
            lambda: {n: len(o.queue.waiting) for n, o in orderers.items()},
        )
        watch(
            "running",
            lambda: {n: len(o.queue.running) for n, o in orderers.items()},
        )

    # -- pages ------------------------------------------------------

    async def serve_operators(self, stream):
        """Serve a connection of the platform or of operators."""
        await self._serve(stream, _OPERATORS)

    async def serve_callers(self, stream):
        """Serve a connection of callers, who only ask for addresses."""
        await self._serve(stream, _CALLERS)

    async def _serve(self, stream, paths):
        async def answer(req, resp):
            page = paths.get(req.path)
            if page is None:
                raise exceptions.NotFound()
            await page(self, req, resp)

        await _http.serve_connection(stream, _http.HttpLimits(), answer)

    async def _ready(self, req, resp):
        state = self._gateway.readiness()
        status = 200 if state == "ready" else 503
        await resp.reply_json({"state": state}, status)

    async def _resolve(self, req, resp):
        found = self.addresses(messages.resolve_query(req))
        if not found:
            raise exceptions.NoConfiguration(retry_after_s=START_RETRY_S)
        answer = messages.resolve_answer(found, ADDRESS_TTL_S)
        await resp.reply_json(answer)

    async def _metrics(self, req, resp):
        text = self._gateway.metrics.render()
        await resp.reply(200, text, [METRICS_KIND])

    async def _status(self, req, resp):
        await resp.reply_json(self.status())

    # -- what they tell ---------------------------------------------

    def addresses(self, data_centre):
        """List the addresses that a caller should use, near ones first.

        :param data_centre: where the caller is.
        """
        gateway = self._gateway
        own = gateway.settings.node
        members = gateway.view.members()
        beats = gateway.mesh.heartbeats()
        ready = {
            name
            for name, member in members.items()
            if not member.draining and name in beats and beats[name].ready
        }
        ready.discard(own.name)
        if gateway.readiness() == "ready":
            ready.add(own.name)
        places = {
            name: (member.data_centre, member.caller_address)
            for name, member in members.items()
        }
        places[own.name] = (own.data_centre, own.caller_address)
        near = [n for n in sorted(ready) if places[n][0] == data_centre]
        chosen = near if len(near) >= NEAR_MIN else sorted(ready)
        chosen = chosen or sorted(members)
        return [places[name][1] for name in chosen][:ADDRESSES_MAX]

    def status(self):
        """Describe what the node does and sees.

        :returns: dict for operators, of the same shape as that of the
            other kind of node.
        """
        gateway = self._gateway
        node = gateway.settings.node
        members = gateway.view.members()
        return {
            "node": node.name,
            "data_centre": node.data_centre,
            "state": gateway.readiness(),
            "revision": gateway.view.deployment.version,
            "lease_valid": gateway.lease.valid(),
            "kv_ok": gateway.lease.kv_ok,
            "requests": gateway.serving.active,
            "links": sorted(gateway.mesh.linked_nodes()),
            "members": _records.describe_members(members),
            "endpoints": {
                name: _engine_status(orderer)
                for name, orderer in sorted(gateway.owned.orderers.items())
            },
            "counters": gateway.metrics.counter_totals(),
            "gauges": gateway.metrics.read_gauges(),
            "quantiles": gateway.metrics.quantiles(STATUS_QUANTILE),
        }


def _known(value):
    return {} if value is None else {"": value}


def _engine_status(orderer):
    places = sorted(orderer.book.held.items())
    return {
        "active": orderer.active(),
        "ready": not orderer.down(),
        "running": len(orderer.queue.running),
        "waiting": len(orderer.queue.waiting),
        "resident": {name: place.version for name, place in places},
    }


_CALLERS = {messages.RESOLVE_PATH: Pages._resolve}
_OPERATORS = {
    messages.READY_PATH: Pages._ready,
    METRICS_PATH: Pages._metrics,
    STATUS_PATH: Pages._status,
}
