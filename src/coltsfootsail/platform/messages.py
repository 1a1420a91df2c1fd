"""Headers of requests and answers, and the callers' address lookup."""

import dataclasses
import email.utils
import math
import urllib.parse

from coltsfootsail import exceptions

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
TENANT = "coltsfootsail-tenant"
AUTHORIZATION = "authorization"
CHALLENGE = ("www-authenticate", "Bearer")
LAST_EVENT = "last-event-id"
RESUMES = "resumes"
RETRY_AFTER = "retry-after"
SERVER_LIMIT = "server-limit"
SERVER_LEAVING = "server-leaving"
SERVER_BRITTLE = "server-brittle"
DATE = "date"
RETRY_AFTER_MAX_S = 3600.0  # a longer retry time of a server counts as this
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
# Only the gateway may set these; they are removed from callers' requests.
RESERVED_HEADERS = frozenset(
    {
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        TENANT,
        DEADLINE,
        "coltsfootsail-hold",
        "coltsfootsail-pin-ms",
        "coltsfootsail-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
# Statements of a server to the gateway, which say nothing to callers.
_HOP_BY_HOP_STATEMENTS = frozenset({SERVER_LEAVING, RETRY_AFTER})
_MISDIRECTED = 421
_BUSY = 503
_FULL_STATUSES = frozenset({429, _BUSY})
# Callers take these statuses for a promise that nothing was or will be run.
PROMISE_STATUSES = frozenset({408, _MISDIRECTED, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The model and the token counts of a request to an engine.

    :param model: name of the base model.
    :param adapter: adapter key, or the model's name if it names no adapter.
    :param output_tokens: greatest length of the answer; the caller's hint if
        it states no maximum.
    :param parts: pairs of a prompt part's id and its token count.
    :param expected_tokens: length that the caller's hint gives, at most the
        greatest one; that one without a hint.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple = ()
    expected_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The headers of a caller's request, decoded.

    :param deadline_s: how long the caller waits, None if it does not say.
    :param prompt: a ``Prompt``, or None for a plain service.
    :param last_event: id of the last event that the caller received.
    :param resumes: id of the request whose answer brought the first event
        of the stream that the caller takes up.
    :param shared_parts: ids of the parts of its prompt that other requests
        may have too: all but the last.
    :param key: the caller's key, empty if it sent none.
    :param tokens: prompt and output tokens together, None if unstated.
    """

    request_id: str
    deadline_s: float | None
    prompt: Prompt | None
    last_event: str
    resumes: str
    shared_parts: tuple = ()
    key: str = dataclasses.field(default="", repr=False)
    tokens: int | None = None


def _parse_number(text):
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None


def _parse_parts(text):
    parts = []
    for item in text.split(","):
        name, _, text = item.strip().partition(":")
        tokens = _parse_number(text)
        if name and text.isdecimal() and tokens is not None:
            parts.append((name, int(tokens)))
    return tuple(parts)


def _parse_prompt(req, parts):
    model_name = req.header(MODEL)
    if not model_name:
        return None
    prompt, _, output = req.header(TOKENS).partition(",")
    prompt_tokens = _parse_number(prompt) or 0
    hint = _parse_number(req.header(LENGTH_HINT)) or 0
    output_tokens = _parse_number(output) or hint
    return Prompt(
        model=model_name.partition("/")[0],
        adapter=model_name,
        prompt_tokens=int(prompt_tokens),
        output_tokens=int(output_tokens),
        parts=parts,
        expected_tokens=int(min(hint or output_tokens, output_tokens)),
    )


def _parse_key(req):
    scheme, _, key = req.header(AUTHORIZATION).partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _parse_token_count(req):
    """Sum the token counts that a request states, None if it states none."""
    if not req.header(TOKENS):
        return None
    numbers = map(_parse_number, req.header(TOKENS).split(","))
    return int(sum(number or 0 for number in numbers))


def read_metadata(req):
    """Decode the headers of a caller's request.

    Invalid values are ignored.

    :param req: an ``HttpRequest``.
    :returns: a ``RequestMetadata``.
    """
    deadline_ms = _parse_number(req.header(DEADLINE))
    parts = _parse_parts(req.header(PROMPT_PREFIX))
    return RequestMetadata(
        request_id=req.header(REQUEST_ID),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        prompt=_parse_prompt(req, parts),
        last_event=req.header(LAST_EVENT),
        resumes=req.header(RESUMES),
        shared_parts=tuple(part_id for part_id, _ in parts[:-1]),
        key=_parse_key(req),
        tokens=_parse_token_count(req),
    )


def _connection_options(headers):
    return {
        name.strip().lower()
        for key, value in headers
        if key == "connection"
        for name in value.split(",")
    }


def forward_headers(
    headers,
    server,
    left_s,
    priority=None,
    version=0,
    last_event=None,
    workspace=None,
):
    """Build the headers of a request to a server.

    :param headers: the caller's headers, pairs with lower-case names.
    :param server: the ``Server`` that must be the one to answer.
    :param left_s: time left until the caller's deadline.
    :param priority: from 0, the most urgent, to 9, or None.
    :param version: adapter version that the server must hold, 0 for any.
    :param last_event: id of the event to resume after; None keeps the
        caller's header.
    :param workspace: name of the workspace that the request is made for,
        empty for none; None where requests need no keys.
    :returns: list of pairs.
    """
    dropped = (
        HOP_BY_HOP_HEADERS | RESERVED_HEADERS | _connection_options(headers)
    )
    if last_event is not None:
        dropped = dropped | {LAST_EVENT}
    if workspace is not None:
        dropped = dropped | {AUTHORIZATION}
    forwarded = [pair for pair in headers if pair[0] not in dropped]
    forwarded.append((DEADLINE, str(max(1, int(left_s * 1000)))))
    forwarded.append((EXPECT_INSTANCE, server.name))
    if priority is not None:
        forwarded.append((PRIORITY, str(min(9, max(0, priority)))))
    if version:
        forwarded.append((EXPECT_VERSION, str(version)))
    if last_event:
        forwarded.append((LAST_EVENT, last_event))
    if workspace:
        forwarded.append((TENANT, workspace))
    return forwarded


def answer_headers(headers):
    """Select the headers of a server's answer to pass on to the caller."""
    dropped = (
        HOP_BY_HOP_HEADERS
        | _HOP_BY_HOP_STATEMENTS
        | _connection_options(headers)
    )
    return [pair for pair in headers if pair[0] not in dropped]


def was_not_run(exchange):
    """Tell whether a server's answer states that it ran nothing.

    :param exchange: an ``Exchange`` whose head was read.
    """
    if exchange.status == _MISDIRECTED:
        return True
    return bool(exchange.header(NOT_RUN))


def was_full(exchange):
    """Tell whether a server had no room for a request that it did not run.

    :param exchange: an ``Exchange`` whose head was read.
    """
    return exchange.status in _FULL_STATUSES


def keep_alive_s(exchange):
    """Read how long a server keeps an idle connection, None if unstated."""
    for item in exchange.header("keep-alive").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_number(value)
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Statements:
    """What the head of an answer states about its server.

    :param leaving: whether the server leaves.
    :param retry_after_s: for how long it wants no requests of this node, None
        if it does not say.
    :param limit_per_s: requests a second over all nodes, None for no limit.
    :param refusals_per_s: requests a second that it can refuse for want of
        room without falling over, None for any number.
    :param problems: descriptions of the statements that can't be read.
    """

    leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    refusals_per_s: float | None = None
    problems: tuple[str, ...] = ()


_LEAVING_VALUES = {"1": True, "0": False}


def read_statements(exchange):
    """Read what an answer states about its server.

    Of several values of one header the most restrictive one counts.

    :param exchange: an ``Exchange`` whose head was read.
    :returns: a ``Statements``.
    """
    problems = []
    rates_per_s = {}
    for name in (SERVER_LIMIT, SERVER_BRITTLE):
        try:
            rates_per_s[name] = stated_rate(exchange, name)
        except exceptions.BadField as exc:
            problems.append(exc.detail)
    leaving = False
    for value in _header_values(exchange, SERVER_LEAVING):
        if value not in _LEAVING_VALUES:
            problems.append(f"{SERVER_LEAVING}: {value!r}")
        leaving = leaving or _LEAVING_VALUES.get(value, False)
    retry_after_s = None
    if exchange.status == _BUSY:
        retry_after_s = _read_retry_after(exchange, problems)
    return Statements(
        leaving,
        retry_after_s,
        rates_per_s.get(SERVER_LIMIT),
        rates_per_s.get(SERVER_BRITTLE),
        tuple(problems),
    )


def _header_values(exchange, wanted):
    return [value for name, value in exchange.headers if name == wanted]


def _read_retry_after(exchange, problems):
    """Read a retry time, which may be a number of seconds or a date.

    A date counts from the date of the answer, so that no clock is read.

    :param problems: list to which unreadable values are added.
    """
    times_s = []
    for value in _header_values(exchange, RETRY_AFTER):
        try:
            delay_s = float(value)
        except ValueError:
            delay_s = _seconds_between(exchange, value)
        if math.isnan(delay_s) or delay_s < 0:
            problems.append(f"{RETRY_AFTER}: {value!r}")
            continue
        if delay_s > RETRY_AFTER_MAX_S:
            problems.append(f"{RETRY_AFTER}: {value!r} is too long")
        times_s.append(min(delay_s, RETRY_AFTER_MAX_S))
    return max(times_s, default=None)


def _seconds_between(exchange, date_text):
    """Get the time from an answer's date to another, ``nan`` if unknown."""
    own = _header_values(exchange, DATE)
    try:
        begun = email.utils.parsedate_to_datetime(own[0] if own else "")
        until = email.utils.parsedate_to_datetime(date_text)
        return (until - begun).total_seconds()
    except (ValueError, TypeError, OverflowError):
        return math.nan


def stated_rate(exchange, name):
    """Read a number of requests a second that a server states.

    :param exchange: an ``Exchange`` whose head was read.
    :param name: of the header.
    :returns: the lowest of several; None if it states none.
    :raises BadField: if it states one that can't be read.
    """
    stated = _header_values(exchange, name)
    if not stated:
        return None
    try:
        rates_per_s = [float(value) for value in stated]
    except ValueError as exc:
        raise exceptions.BadField(f"{name}: {exc}") from exc
    if not all(0.0 <= rate < math.inf for rate in rates_per_s):
        raise exceptions.BadField(f"{name}: {stated!r}")
    return min(rates_per_s)


def retry_after(delay_s):
    """Build the header that tells a caller when to retry."""
    return RETRY_AFTER, f"{max(0.0, delay_s):.2f}"


def resolve_query(req):
    """Read the data centre of a caller that asks for addresses.

    :returns: its name, empty if the caller states none.
    """
    query = urllib.parse.parse_qs(req.query)
    return query.get("zone", [""])[0]


def resolve_answer(addresses, ttl_s):
    """Build the answer to a caller that asks for addresses."""
    return {"addrs": list(addresses), "ttlS": ttl_s}
