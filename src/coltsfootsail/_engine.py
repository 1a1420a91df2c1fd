"""Client for model engines: orders, reports and completions.

Orders use vLLM's LoRA API; the fencing number is sent in a header.
Support for an engine with another API goes into a module with the same
interface as this one.
"""

import dataclasses
import json

from coltsfootsail import exceptions

ORDER_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 6.0
REPORT_TIMEOUT_S = 2.0
FENCE_HEADER = "x-fencing-token"
REQUEST_ID_HEADER = "x-request-id"
SUCCESS_STATUS = 200
NOT_FOUND_STATUS = 404
FENCED_STATUS = 409


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its state, which may be out of date.

    :param resident: names of the loaded adapters.
    :param running: dict of adapter to running requests.
    :param incarnation: number that changes when the engine restarts.
    :param asked_s: when the report was requested, on this node's clock.
    :param sampled_s: latest time at which ``running`` was true, on this
        node's clock.
    """

    resident: tuple
    running: dict
    incarnation: int
    asked_s: float
    sampled_s: float


class EngineClient:
    """Calls one engine.

    :param client: an ``HttpClient``.
    :param address: ``"ip:port"``.
    :param now: callable that returns the current time in seconds.
    """

    def __init__(self, client, address, now):
        self._client = client
        self.address = address
        self._now = now

    async def _send_order(self, path, value, fence, timeout_s):
        headers = [(FENCE_HEADER, str(fence))]
        body = json.dumps(value).encode()
        try:
            status, _, _ = await self._client.call(
                self.address,
                "POST",
                path,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                fresh=True,
            )
        except OSError as exc:
            raise exceptions.OrderUnsure(str(exc)) from exc
        return status

    async def load(self, adapter, fence):
        """Order the engine to load an adapter.

        :param adapter: ``name@version``.
        :param fence: the fencing number of the claim.
        :raises OrderRefused: if the order did not and will not take effect.
        :raises OrderUnsure: if the order may have taken or still take effect.
        """
        value = {"lora_name": adapter, "lora_path": adapter}
        status = await self._send_order(
            "/v1/load_lora_adapter", value, fence, LOAD_TIMEOUT_S
        )
        if status != SUCCESS_STATUS:
            raise exceptions.OrderRefused(f"load {adapter}: status {status}")

    async def unload(self, adapter, fence):
        """Order the engine to evict an adapter; raises as ``load`` does."""
        status = await self._send_order(
            "/v1/unload_lora_adapter",
            {"lora_name": adapter},
            fence,
            ORDER_TIMEOUT_S,
        )
        if status not in (SUCCESS_STATUS, NOT_FOUND_STATUS):
            raise exceptions.OrderRefused(f"unload {adapter}: status {status}")

    async def announce_fence(self, fence):
        """Send the engine a new fencing number; raises as ``load`` does."""
        status = await self._send_order(
            "/v1/role", {"role": "serve"}, fence, ORDER_TIMEOUT_S
        )
        if status == FENCED_STATUS:
            raise exceptions.OrderRefused("a newer owner exists")

    async def report(self):
        """Ask the engine which adapters are resident and what is running.

        :returns: an ``EngineReport``.
        :raises OSError: if the engine gave no valid answer.
        """
        asked_s = self._now()
        _, load = await self._client.call_json(
            self.address, "GET", "/load", timeout_s=REPORT_TIMEOUT_S
        )
        _, models = await self._client.call_json(
            self.address, "GET", "/v1/models", timeout_s=REPORT_TIMEOUT_S
        )
        try:
            return EngineReport(
                resident=tuple(str(row["id"]) for row in models["data"]),
                running=dict(load["running"]),
                incarnation=int(models.get("incarnation", 0)),
                asked_s=asked_s,
                sampled_s=asked_s - float(load["age_s"]),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise ConnectionError(f"invalid engine report: {exc}") from exc

    def exchange(self):
        """Open an HTTP exchange for a completion, on a new connection."""
        return self._client.exchange(self.address, fresh=True)
