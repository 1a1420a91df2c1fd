"""Orders to model servers, which load and unload adapters, and reports."""

import dataclasses
import enum
import json

from coltsfootsail import _fleet
from coltsfootsail import exceptions
from coltsfootsail.platform import registry

EXPECT_INSTANCE = "coltsfootsail-expect-instance"
ORDER_PATH = "/v1/order"
REPORT_PATH = "/v1/report"
REPORT_BYTES_MAX = 1_048_576
ORDER_ANSWER_BYTES_MAX = 65_536


class OrderAnswer(enum.Enum):
    """A server's answer to an order.

    ``ACCEPTED`` means that it will be carried out, ``HOLDS`` that its
    result is in effect already, ``CONFLICT`` that it does not fit the
    server's state, such as another number of accepted orders, ``FENCED``
    that a newer owner exists, and ``OTHER_SERVER`` that another server
    listens at the address.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"


_ANSWERS = {
    202: OrderAnswer.ACCEPTED,
    200: OrderAnswer.HOLDS,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.OTHER_SERVER,
}


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """What a server replied to an order.

    :param born_ms: Unix time of the server's start in ms, 0 if unstated.
    """

    answer: OrderAnswer
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload an adapter or a base model.

    :param load: whether to load or to unload.
    :param adapter: adapter key, or the name of a base model.
    :param sequence: number of orders that the server must have accepted.
    :param holder: name of the node that gives the order.
    :param fence: fencing number of that node's claim.
    :param version: adapter version to load, 0 for the newest.
    """

    load: bool
    adapter: str
    sequence: int
    holder: str
    fence: int
    version: int = 0


def encode_order(order):
    """Encode an order as the body of a request."""
    model, _, adapter = order.adapter.partition("/")
    value = {
        "op": "load" if order.load else "unload",
        "model": model,
        "expected": order.sequence,
        "holder": order.holder,
        "fence": order.fence,
    }
    if adapter:
        value["adapter"] = adapter
    if order.load and order.version:
        value["version"] = order.version
    return json.dumps(value).encode()


async def send_order(client, server, order, timeout_s):
    """Send an order.

    :param client: an ``HttpClient``.
    :param server: the ``Server``.
    :returns: an ``OrderReply``.
    :raises OSError: if there was no answer; the order may still be
        carried out.
    """
    status, _, body = await client.call(
        server.address,
        "POST",
        ORDER_PATH,
        headers=(
            ("content-type", "application/json"),
            (EXPECT_INSTANCE, server.name),
        ),
        body=encode_order(order),
        timeout_s=timeout_s,
        limit_bytes=ORDER_ANSWER_BYTES_MAX,
    )
    answer = _ANSWERS.get(status, OrderAnswer.REFUSED)
    return OrderReply(answer, _decode_born_ms(body))


def _decode_born_ms(body):
    """Decode the start that the answer to an order states.

    :returns: 0 if it states none that can be read.
    """
    try:
        return int(json.loads(body).get("born") or 0)
    except (*registry.DECODE_ERRORS, RecursionError):
        return 0


def _decode_runs(rows):
    """Decode the list of runs, each a row that begins with its id."""
    return None if rows is None else frozenset(str(row[0]) for row in rows)


def decode_report(value):
    """Decode a report.

    :param value: the decoded JSON.
    :returns: an ``EngineReport``.
    :raises BadField: if it can't be decoded.
    """
    try:
        names, adapters = registry.decode_models(value.get("models"))
        return _fleet.EngineReport(
            sequence=int(value["seq"]),
            adapters=adapters,
            pending=tuple(
                str(item).partition("@")[0]
                for item in value.get("pending") or ()
            ),
            running=int(value.get("running", 0)),
            waiting=int(value.get("waiting", 0)),
            models=names,
            busy=bool(value.get("busy", False)),
            runs=_decode_runs(value.get("runs")),
            born_ms=int(value.get("born") or 0),
        )
    except (*registry.DECODE_ERRORS, IndexError) as exc:
        raise exceptions.BadField(f"report: {exc!r}") from exc


async def fetch_report(client, server, timeout_s):
    """Get a server's report.

    :param client: an ``HttpClient``.
    :param server: the ``Server``.
    :returns: an ``EngineReport``.
    :raises OSError: if there was no report.
    :raises BadField: if it can't be decoded.
    """
    status, value = await client.call_json(
        server.address,
        "GET",
        REPORT_PATH,
        headers=((EXPECT_INSTANCE, server.name),),
        timeout_s=timeout_s,
        limit_bytes=REPORT_BYTES_MAX,
    )
    if status != 200:
        raise ConnectionError(f"report: status {status}")
    return decode_report(value)
