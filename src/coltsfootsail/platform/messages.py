"""Headers of requests and answers, and the small calls of callers."""

import dataclasses
import urllib.parse

REQUEST_ID = "coltsfootsail-request-id"
DEADLINE = "coltsfootsail-deadline-ms"
MODEL = "coltsfootsail-model"
TOKENS = "coltsfootsail-tokens"
PROMPT_PREFIX = "coltsfootsail-prompt-prefix"
LENGTH_HINT = "coltsfootsail-length-hint"
STAMP = "coltsfootsail-server-stamp"
NOT_RUN = "coltsfootsail-not-executed"
EXPECT_INSTANCE = "coltsfootsail-expect-instance"
EXPECT_VERSION = "coltsfootsail-expect-version"
PRIORITY = "coltsfootsail-request-priority"
LAST_EVENT = "last-event-id"
RETRY_AFTER = "retry-after"
READY_PATH = "/v1/readyz"
RESOLVE_PATH = "/v1/resolve"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only this system may set; callers' own are dropped.
RESERVED_HEADERS = frozenset(
    {
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        DEADLINE,
        "coltsfootsail-hold",
        "coltsfootsail-pin-ms",
        "coltsfootsail-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks of an engine.

    :param adapter: adapter key, or the model's name without adapter.
    :param parts: pairs of a prompt part's id and its tokens.
    :param output_tokens: the likely length where hinted, else the most.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say.

    :param deadline_s: how long it waits, or None.
    :param prompt: a ``Prompt``, or None for a plain request.
    """

    request_id: str
    deadline_s: float | None
    prompt: Prompt | None
    last_event: str


def _parse_number(text):
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None


def _parse_parts(text):
    found = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdecimal():
            found.append((name, int(tokens)))
    return tuple(found)


def _parse_prompt(req):
    model_name = req.header(MODEL)
    if not model_name:
        return None
    first, _, second = req.header(TOKENS).partition(",")
    prompt_tokens = _parse_number(first) or 0
    output_tokens = _parse_number(second) or 0
    hint = _parse_number(req.header(LENGTH_HINT))
    if hint:
        output_tokens = min(hint, output_tokens or hint)
    return Prompt(
        model=model_name.partition("/")[0],
        adapter=model_name,
        prompt_tokens=int(prompt_tokens),
        output_tokens=int(output_tokens),
        parts=_parse_parts(req.header(PROMPT_PREFIX)),
    )


def read_metadata(req):
    """Read the headers of a caller's request.

    :param req: an ``HttpRequest``.
    :returns: a ``RequestMetadata``.
    """
    deadline_ms = _parse_number(req.header(DEADLINE))
    return RequestMetadata(
        request_id=req.header(REQUEST_ID),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        prompt=_parse_prompt(req),
        last_event=req.header(LAST_EVENT),
    )


def _connection_options(headers):
    return {
        name.strip().lower()
        for key, value in headers
        if key == "connection"
        for name in value.split(",")
    }


def forward_headers(
    headers, server, left_s, priority=None, version=0, last_event=None
):
    """Make the headers of a request to a server.

    :param headers: the caller's pairs, lower-case names.
    :param server: the ``Server`` that must be the one to answer.
    :param left_s: time left to the caller.
    :param priority: 0 to 9, 0 first, or None.
    :param version: version of the adapter that must be held, 0 for any.
    :param last_event: event to resume after; None keeps the caller's.
    :returns: list of pairs.
    """
    dropped = (
        HOP_BY_HOP_HEADERS | RESERVED_HEADERS | _connection_options(headers)
    )
    if last_event is not None:
        dropped = dropped | {LAST_EVENT}
    found = [pair for pair in headers if pair[0] not in dropped]
    found.append((DEADLINE, str(max(1, int(left_s * 1000)))))
    found.append((EXPECT_INSTANCE, server.name))
    if priority is not None:
        found.append((PRIORITY, str(min(9, max(0, priority)))))
    if version:
        found.append((EXPECT_VERSION, str(version)))
    if last_event:
        found.append((LAST_EVENT, last_event))
    return found


def answer_headers(headers):
    """Keep the headers of an answer that concern the caller."""
    dropped = HOP_BY_HOP_HEADERS | _connection_options(headers)
    return [pair for pair in headers if pair[0] not in dropped]


def was_not_run(exchange):
    """Say whether a server's answer states that nothing was run.

    :param exchange: an ``Exchange`` whose head was read.
    """
    if exchange.status == _MISDIRECTED:
        return True
    return bool(exchange.header(NOT_RUN))


def keep_alive_s(exchange):
    """Read for how long a server keeps the connection, or None."""
    for item in exchange.header("keep-alive").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_number(value)
    return None


def retry_after(delay_s):
    """Make the header that tells a caller when to come back."""
    return RETRY_AFTER, f"{max(0.0, delay_s):.2f}"


def resolve_query(req):
    """Read which data centre a caller asks from.

    :returns: its name, empty if it states none.
    """
    query = urllib.parse.parse_qs(req.query)
    return query.get("zone", [""])[0]


def resolve_answer(addresses, ttl_s):
    """Make the answer to a caller that asks where to connect."""
    return {"addrs": list(addresses), "ttlS": ttl_s}
