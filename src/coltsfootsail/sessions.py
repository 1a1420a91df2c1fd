"""Client session with the nodes of a coltsfootsail system."""

import contextlib
import dataclasses
import json
import urllib.parse

import trio

from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _net
from coltsfootsail import _schema
from coltsfootsail import exceptions

TIMEOUT_S = 130.0
WAIT_POLL_S = 0.2
ROUTE_PATH = "/v1/route"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Addresses to use for a model, in order of preference.

    :param ttl_s: how many seconds the addresses may be cached.
    """

    addresses: tuple
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionEvent:
    """A part of a completion's text."""

    model: str
    text: str
    finish_reason: str


class Session:
    """Client of one node, which tells the addresses of the others to use.

    Usage::

        session = Session("127.0.0.1:8080")
        route = await session.route("gift-note-0001")
        async for event in session.complete("gift-note-0001", "Hello"):
            print(event.text, end="")

    :param address: the caller address of a node.
    :param admin_address: the admin address of a node, for operators.
    :param token: the token of an operator.
    :param network: a ``Network``; TCP by default.
    """

    def __init__(self, address="", admin_address="", token="", network=None):
        self.address = address
        self.admin_address = admin_address
        self._token = token
        self._network = network or _net.tcp_network()
        self._client = _http.HttpClient(self._network)
        self._routes = {}

    async def _call(self, address, method, target, value=None, headers=()):
        try:
            status, answer = await self._client.call_json(
                address,
                method,
                target,
                value,
                headers=headers,
                timeout_s=TIMEOUT_S,
            )
        except OSError as exc:
            raise exceptions.EndpointUnreachable(
                f"{address} not reachable: {exc}"
            ) from exc
        if status >= 400:
            raise to_error(status, answer)
        return answer

    async def route(self, model=""):
        """Get the addresses to use for a model, cached for their ``ttl_s``.

        :returns: a ``Route``.
        """
        now_s = self._network.now()
        cached = self._routes.get(model)
        if cached is not None and cached[1] > now_s:
            return cached[0]
        query = urllib.parse.urlencode({"model": model})
        answer = await self._call(self.address, "GET", f"{ROUTE_PATH}?{query}")
        route = Route(tuple(answer["addresses"]), answer["ttl_s"])
        self._routes[model] = (route, now_s + route.ttl_s)
        return route

    async def complete(self, model, prompt, max_tokens=64, headers=()):
        """Stream a completion.

        Use with ``contextlib.aclosing``.

        :param model: ``adapter@version``, an adapter or a name that a
            routing rule matches.
        :returns: async iterator of ``CompletionEvent``.
        :raises ColtsfootsailError: the error that the node reports.
        """
        value = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        route = await self.route(model)
        address = (route.addresses or (self.address,))[0]
        fields = [("host", address), *headers]
        fields.append(("content-type", "application/json"))
        body = json.dumps(value).encode()
        try:
            async with self._client.exchange(address) as exchange:
                await exchange.send("POST", "/v1/completions", fields, body)
                status = await exchange.read_head()
                if status != 200:
                    answer = await exchange.read_body(1_048_576)
                    raise to_error(status, _json_or_none(answer))
                async with contextlib.aclosing(
                    _read_events(exchange)
                ) as events:
                    async for event in events:
                        yield event
        except _http.STREAM_ERRORS as exc:
            raise exceptions.AnswerTruncated(str(exc)) from exc

    async def admin(self, method, target, value=None):
        """Call the admin listener of the node.

        :returns: the decoded JSON answer.
        """
        headers = []
        if self._token:
            headers.append(("authorization", f"Bearer {self._token}"))
        return await self._call(
            self.admin_address, method, target, value, headers
        )

    async def status(self):
        """Get the status of the node as a dict."""
        return await self.admin("GET", "/status")

    async def config(self):
        """Get the configuration in force.

        :returns: tuple of revision and ``Document``.
        """
        answer = await self.admin("GET", "/config")
        return answer["revision"], _document.from_plain(answer["document"])

    async def edit(self, operations, operator="", team="", dry_run=False):
        """Send a change of the configuration.

        :param operations: list of dicts with section, key, old and new.
        :param dry_run: whether to validate the change without storing it.
        :returns: the revision that holds the change; 0 for a dry run.
        :raises EditConflict: if another edit changed an entry first.
        :raises DocumentError: if the changed document is not valid.
        """
        answer = await self.admin(
            "POST",
            "/config/edit",
            {
                "operations": operations,
                "operator": operator,
                "team": team,
                "dry_run": dry_run,
            },
        )
        return answer["revision"]

    async def wait(self, revision, timeout_s):
        """Wait until all live nodes have a revision in force.

        :returns: dict of node name to its revision.
        :raises RequestTimeout: if it takes longer.
        """
        with trio.move_on_after(timeout_s):
            while True:
                revisions = await self._revisions()
                if revisions and min(revisions.values()) >= revision:
                    return revisions
                await trio.sleep(WAIT_POLL_S)
        raise exceptions.RequestTimeout(
            f"not all nodes had revision {revision} in {timeout_s} s"
        )

    async def _revisions(self):
        """Ask every live node for the revision that it has in force.

        :returns: dict of node name to revision; -1 if the node fails.
        """
        members = (await self.status())["members"]
        revisions = {}

        async def fetch_revision(name, address):
            session = Session(
                admin_address=address,
                token=self._token,
                network=self._network,
            )
            revisions[name] = -1
            with contextlib.suppress(exceptions.ColtsfootsailError):
                revisions[name] = (await session.status())["revision"]

        async with trio.open_nursery() as nursery:
            for name, member in members.items():
                nursery.start_soon(
                    fetch_revision, name, member["admin_address"]
                )
        return revisions


def _json_or_none(data):
    try:
        return json.loads(data)
    except ValueError:
        return None


def to_error(status, answer):
    """Convert an error answer to the error class of its code.

    :param status: the HTTP status of the answer.
    :param answer: the decoded JSON, or None.
    :returns: a ``ColtsfootsailError``.
    """
    error = answer.get("error") if isinstance(answer, dict) else None
    if not isinstance(error, dict):
        return exceptions.ClientError(f"status {status}")
    error_class = exceptions.refusals().get(error.get("code"))
    if error_class is None:
        return exceptions.ClientError(str(error))
    if issubclass(error_class, exceptions.SettingsError):
        return error_class(
            [_schema.Problem(**row) for row in error.get("problems", ())]
        )
    outcome = exceptions.Outcome(error.get("outcome", "unknown"))
    return error_class(error.get("message", ""), outcome=outcome)


async def _read_events(exchange):
    buffer = b""
    while exchange.phase is not _http.Phase.DONE:
        buffer += await exchange.read_some()
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            data = event.removeprefix(b"data: ")
            if data == b"[DONE]":
                return
            yield _parse_event(json.loads(data))
    raise exceptions.AnswerTruncated()


def _parse_event(value):
    if "error" in value:
        raise to_error(0, value)
    choice = value["choices"][0]
    return CompletionEvent(
        model=value["model"],
        text=choice["text"],
        finish_reason=choice["finish_reason"] or "",
    )
