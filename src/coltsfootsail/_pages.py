"""HTTP pages of a gateway: readiness, addresses, metrics and status."""

import json
import math

from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _records
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

ADDRESSES_MAX = 64
ADDRESS_TTL_S = 2
# Callers are sent to their own data centre only if it has this many nodes.
LOCAL_NODES_MIN = 2
START_RETRY_S = 0.5  # retry time stated until the deployment is known
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
STATUS_CONTENT_TYPE = ("content-type", "application/json")
METRICS_CONTENT_TYPE = ("content-type", "text/plain; version=0.0.4")
STATUS_QUANTILE = 0.95
# Pages are asked for without a body.
LIMITS = _http.HttpLimits(
    body_bytes=4096, read_timeout_s=5.0, write_timeout_s=5.0
)


class StatusPages:
    """Serves the pages of one node and sets up its gauges.

    :param gateway: the ``Gateway``.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._register_gauges(gateway.metrics.register_gauge)
        gateway.quotas.register_gauges(gateway.metrics.register_gauge)

    def _register_gauges(self, register):
        gateway = self._gateway
        view, lease = gateway.view, gateway.lease
        controllers = gateway.owned_engines.controllers
        register(
            "configuration_version", lambda: {"": view.deployment.version}
        )
        register(
            "configuration_age_seconds", lambda: _optional_gauge(view.age_s())
        )
        register(
            "configuration_proof_age_seconds",
            lambda: _finite_gauge(gateway.freshness.age_s()),
        )
        register("descriptors", gateway.descriptors.gauge)
        register("servers", view.service_counts)
        register("engine_speeds", gateway.speeds.gauge)
        register("claims", lambda: {"": len(gateway.claims.held)})
        register("lease_left_seconds", lambda: {"": lease.left_s()})
        register(
            "open_requests",
            lambda: {"": gateway.request_handler.active_requests},
        )
        memory = gateway.held_memory
        register("held_bytes", memory.bytes_by_use)
        register("held_bytes_peak", lambda: {"": memory.peak_bytes})
        register("held_bytes_budget", lambda: {"": memory.budget_bytes})
        register(
            "linked_nodes", lambda: {"": len(gateway.mesh.linked_nodes())}
        )
        register("nodes", lambda: {"": view.member_count()})
        register(
            "waiting",
            lambda: {n: len(c.queue.waiting) for n, c in controllers.items()},
        )
        register(
            "running",
            lambda: {n: len(c.queue.running) for n, c in controllers.items()},
        )

    async def serve_operators(self, stream, place):
        """Serve a connection of the platform or of operators.

        :param place: its ``Connection``.
        """
        await self._serve(stream, _OPERATOR_PAGES, place)

    async def serve_callers(self, stream, place):
        """Serve a connection of callers, who may only ask for addresses.

        :param place: its ``Connection``.
        """
        await self._serve(stream, _CALLER_PAGES, place)

    async def _serve(self, stream, pages, place):
        async def answer(req, resp):
            page = pages.get(req.path)
            if page is None:
                raise exceptions.NotFound()
            await page(self, req, resp)

        limits = place.limits(LIMITS)
        await _http.serve_connection(stream, limits, answer, place=place)

    async def _ready(self, req, resp):
        state = self._gateway.readiness()
        status = 200 if state == "ready" else 503
        await resp.reply_json({"state": state}, status)

    async def _resolve(self, req, resp):
        addresses = self.addresses(messages.resolve_query(req))
        if not addresses:
            raise exceptions.NoConfiguration(retry_after_s=START_RETRY_S)
        answer = messages.resolve_answer(addresses, ADDRESS_TTL_S)
        await resp.reply_json(answer)

    async def _metrics(self, req, resp):
        text = self._gateway.metrics.render()
        await self._reply(req, resp, text, METRICS_CONTENT_TYPE)

    async def _status(self, req, resp):
        text = json.dumps(self.status(), ensure_ascii=False).encode()
        await self._reply(req, resp, text, STATUS_CONTENT_TYPE)

    async def _reply(self, req, resp, text, content_type):
        """Send a large page, which readers may read slowly.

        :raises Refusal: if the memory of all answers is used up.
        """
        memory = self._gateway.held_memory
        with memory.hold(_held_memory.ANSWER) as account:
            if not account.take(len(text)):
                _logs.detail("page_refused", path=req.path, size=len(text))
                raise exceptions.Refusal(
                    "memory of all answers", retry_after_s=1.0
                )
            await resp.reply(200, text, [content_type])

    def addresses(self, data_centre):
        """List the addresses that a caller should use.

        They belong to ready nodes, if possible of the caller's data centre
        and without those that are cut off from all servers.  If no node is
        ready, they belong to all registered nodes.

        :param data_centre: the caller's data centre.
        """
        gateway = self._gateway
        own = gateway.settings.node
        members = gateway.view.members()
        heartbeats = gateway.mesh.heartbeats()
        ready = {
            name
            for name, member in members.items()
            if not member.draining
            and name in heartbeats
            and heartbeats[name].ready
        }
        ready.discard(own.name)
        if gateway.readiness() == "ready":
            ready.add(own.name)
        connected = {n for n in ready if not gateway.reach.is_isolated(n)}
        ready = connected or ready
        locations = {
            name: (member.data_centre, member.caller_address)
            for name, member in members.items()
        }
        locations[own.name] = (own.data_centre, own.caller_address)
        local = [n for n in sorted(ready) if locations[n][0] == data_centre]
        chosen = local if len(local) >= LOCAL_NODES_MIN else sorted(ready)
        chosen = chosen or sorted(members)
        return [locations[name][1] for name in chosen][:ADDRESSES_MAX]

    def status(self):
        """Describe the node's state for operators.

        :returns: dict with the same keys as the status of a ``_node.Node``.
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
            "requests": gateway.request_handler.active_requests,
            "links": sorted(gateway.mesh.linked_nodes()),
            "members": _records.describe_members(members),
            "endpoints": {
                name: _engine_status(controller)
                for name, controller in sorted(
                    gateway.owned_engines.controllers.items()
                )
            },
            "counters": gateway.metrics.counter_totals(),
            "gauges": gateway.metrics.read_gauges(),
            "quantiles": gateway.metrics.quantiles(STATUS_QUANTILE),
        }


def _optional_gauge(value):
    return {} if value is None else {"": value}


def _finite_gauge(value):
    return {"": value} if math.isfinite(value) else {}


def _engine_status(controller):
    adapters = sorted(controller.adapter_slots.held.items())
    return {
        "active": controller.can_order(),
        "ready": not controller.is_down(),
        "running": len(controller.queue.running),
        "waiting": len(controller.queue.waiting),
        "resident": {name: slot.version for name, slot in adapters},
    }


_CALLER_PAGES = {messages.RESOLVE_PATH: StatusPages._resolve}
_OPERATOR_PAGES = {
    messages.READY_PATH: StatusPages._ready,
    METRICS_PATH: StatusPages._metrics,
    STATUS_PATH: StatusPages._status,
}
