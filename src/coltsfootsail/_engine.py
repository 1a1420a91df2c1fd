"""The edge to model engines: orders, reports and completions.

Orders follow vLLM's published LoRA calls; the fencing number goes in a
header.  Another engine's surface is met by another module of this shape.
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
class Report:
    """What an engine says of itself; a hint about the past.

    :param sampled_s: when it was true at the latest, by our clock.
    :param running: dict of adapter to running requests.
    """

    resident: tuple
    running: dict
    incarnation: int
    asked_s: float
    sampled_s: float


class Engine:
    """Calls one engine.

    :param client: an ``HttpClient``.
    :param address: ``"ip:port"``.
    :param now: closure that reads the clock.
    """

    def __init__(self, client, address, now):
        self._client = client
        self.address = address
        self._now = now

    async def _order(self, target, value, fence, timeout_s):
        headers = [(FENCE_HEADER, str(fence))]
        body = json.dumps(value).encode()
        try:
            status, _, _ = await self._client.call(
                self.address,
                "POST",
                target,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                fresh=True,
            )
        except OSError as exc:
            raise exceptions.OrderUnsure(str(exc)) from exc
        return status

    async def load(self, adapter, fence):
        """Order a load.

        :raises OrderRefused: if it did not and will not take effect.
        :raises OrderUnsure: if that is not known.
        """
        value = {"lora_name": adapter, "lora_path": adapter}
        status = await self._order(
            "/v1/load_lora_adapter", value, fence, LOAD_TIMEOUT_S
        )
        if status != SUCCESS_STATUS:
            raise exceptions.OrderRefused(f"load {adapter}: status {status}")

    async def unload(self, adapter, fence):
        """Order an eviction; raises as ``load`` does."""
        status = await self._order(
            "/v1/unload_lora_adapter",
            {"lora_name": adapter},
            fence,
            ORDER_TIMEOUT_S,
        )
        if status not in (SUCCESS_STATUS, NOT_FOUND_STATUS):
            raise exceptions.OrderRefused(f"unload {adapter}: status {status}")

    async def take_over(self, fence):
        """Show the engine a new fencing number; raises as ``load``."""
        status = await self._order(
            "/v1/role", {"role": "serve"}, fence, ORDER_TIMEOUT_S
        )
        if status == FENCED_STATUS:
            raise exceptions.OrderRefused("a newer owner exists")

    async def report(self):
        """Ask what is resident and running.

        :returns: a ``Report``.
        :raises OSError: if the engine did not answer.
        """
        asked_s = self._now()
        _, load = await self._client.call_json(
            self.address, "GET", "/load", timeout_s=REPORT_TIMEOUT_S
        )
        _, models = await self._client.call_json(
            self.address, "GET", "/v1/models", timeout_s=REPORT_TIMEOUT_S
        )
        try:
            return Report(
                resident=tuple(str(row["id"]) for row in models["data"]),
                running=dict(load["running"]),
                incarnation=int(models.get("incarnation", 0)),
                asked_s=asked_s,
                sampled_s=asked_s - float(load["age_s"]),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise ConnectionError(f"bad report: {exc}") from exc

    def exchange(self):
        """Open an exchange for a completion, on a new connection."""
        return self._client.exchange(self.address, fresh=True)
