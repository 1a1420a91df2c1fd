"""Forwards calls to plain services; those not idempotent at most once."""

import hashlib

import trio

from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _ledger
from coltsfootsail import _outcomes
from coltsfootsail import _placement
from coltsfootsail import exceptions

ANSWER_BYTES_MAX = 16_777_216
SAFE_METHODS = frozenset({"GET", "HEAD"})
METHODS = SAFE_METHODS | {"POST", "PUT", "DELETE", "PATCH"}
FORWARDED_REQUEST_HEADERS = frozenset(
    {"content-type", "accept", "accept-language", "idempotency-key"}
)
RELAYED_ANSWER_HEADERS = frozenset(
    {"content-type", "content-language", "retry-after", "etag"}
)
ATTEMPTS_MAX = 3


def is_idempotent(service, req):
    """Return whether a call may run more than once.

    :param service: the ``Service`` entry.
    :param req: an ``HttpRequest``.
    """
    if req.method in SAFE_METHODS:
        return True
    rest = req.path.removeprefix(service.prefix.rstrip("/"))
    return rest in service.idempotent_paths


def check_path(path):
    """Refuse paths that a service might resolve in another way.

    :raises BadField: for dot segments, empty segments, backslashes, and
        percent-encoded dots, slashes, backslashes or NULs.
    """
    lowered = path.lower()
    ambiguous = ("/../", "/./", "%2e", "%2f", "%5c", "\\", "//", "%00")
    padded = path + "/"
    if any(
        sequence in lowered or sequence in padded for sequence in ambiguous
    ):
        raise exceptions.BadField("the path is not plain")


def usable_instances(document, name, is_leaving):
    """Get the instances of a service that may take new calls.

    :param name: the service's name.
    :param is_leaving: ``(Endpoint) -> bool``; whether the endpoint's host
        is leaving.
    :returns: dict of endpoint name to entry.
    """
    return {
        key: entry
        for key, entry in document.endpoints.items()
        if entry.service == name
        and not is_leaving(entry)
        and not _document.is_drained(document, key, entry)
    }


def fingerprint(req):
    """Hash the content of a call."""
    text = f"{req.method} {req.target}\0".encode() + req.body
    return hashlib.blake2b(text, digest_size=16).hexdigest()


class ServiceCalls:
    """Forwards one node's calls to plain services.

    :param client: an ``HttpClient``.
    :param ledger: a ``Ledger``.
    :param budget: a ``RetryBudget``.
    :param count: ``(counter, reason)``.
    :param limits: ``LimitSettings``.
    """

    def __init__(self, client, ledger, budget, count, limits):
        self._client = client
        self._ledger = ledger
        self._budget = budget
        self._count = count
        self._limits = limits

    async def call(self, req, service, endpoints, timeout_s, request_id):
        """Forward a call, at most once unless it is idempotent.

        :param req: the caller's ``HttpRequest``.
        :param service: the ``Service`` entry.
        :param endpoints: dict of name to entry of the usable instances.
        :returns: tuple of status, headers and body.
        :raises ColtsfootsailError: its outcome says whether the call was
            run.
        """
        if req.method not in METHODS:
            raise exceptions.MethodNotAllowed()
        check_path(req.path)
        idempotent = is_idempotent(service, req)
        key = req.header("idempotency-key")
        if idempotent:
            return await self._call_with_retries(
                req, endpoints, timeout_s, request_id, True
            )
        claim = await self._ledger.claim(key, fingerprint(req))
        if isinstance(claim, _ledger.Answer):
            self._count("ledger", "replayed")
            headers = [
                ("content-type", claim.content_type),
                ("idempotent-replayed", "true"),
            ]
            return claim.status, headers, claim.body
        self._count("ledger", "claimed")
        return await self._call_at_most_once(
            req, endpoints, timeout_s, request_id, claim
        )

    async def _call_at_most_once(
        self, req, endpoints, timeout_s, request_id, claim
    ):
        try:
            answer = await self._call_with_retries(
                req, endpoints, timeout_s, request_id, False
            )
        except exceptions.ColtsfootsailError as exc:
            await settle_failure(self._ledger, claim, exc, self._count)
            raise
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await settle_failure(
                    self._ledger,
                    claim,
                    exceptions.OutcomeUnknown(),
                    self._count,
                )
            raise
        status, headers, body = answer
        content_type = dict(headers).get("content-type", "")
        stored = _ledger.Answer(status, content_type, body)
        await settle_success(self._ledger, claim, stored, self._count)
        return answer

    async def _call_with_retries(
        self, req, endpoints, timeout_s, request_id, idempotent
    ):
        names = _placement.rendezvous_ranking(
            request_id, tuple(sorted(endpoints)), ATTEMPTS_MAX
        )
        failure = exceptions.NoEndpoint("no instance of the service")
        may_have_run = False
        for position, name in enumerate(names):
            if position and not self._may_retry(failure, idempotent):
                break
            try:
                answer = await self._send_once(
                    req, endpoints[name], timeout_s, request_id, not idempotent
                )
            except exceptions.ColtsfootsailError as exc:
                failure = exc
                if exc.outcome is not exceptions.Outcome.NOT_RUN:
                    may_have_run = True
                continue
            self._budget.earn()
            return answer
        if may_have_run:
            failure.outcome = exceptions.Outcome.UNKNOWN
        raise failure

    def _may_retry(self, failure, idempotent):
        if not _outcomes.may_retry(failure, idempotent):
            return False
        if not self._budget.spend():
            self._count("retries_denied", "budget")
            return False
        self._count("retries", failure.code)
        return True

    async def _send_once(self, req, entry, timeout_s, request_id, fresh):
        headers = [
            (name, value)
            for name, value in req.headers
            if name in FORWARDED_REQUEST_HEADERS
        ]
        headers += [("host", entry.address), ("x-request-id", request_id)]
        phase = _http.Phase.CONNECTING
        try:
            with trio.fail_after(
                min(timeout_s, self._limits.silence_timeout_s)
            ):
                async with self._client.exchange(
                    entry.address, fresh=fresh
                ) as exchange:
                    try:
                        await exchange.send(
                            req.method, req.target, headers, req.body
                        )
                        await exchange.read_head()
                        body = await exchange.read_body(ANSWER_BYTES_MAX)
                    finally:
                        phase = exchange.phase
        except _outcomes.EXCHANGE_ERRORS as exc:
            verdict = _outcomes.verdict(phase, _outcomes.classify(exc))
            raise verdict.error(str(exc)) from exc
        echoed = exchange.header("x-request-id", request_id)
        if echoed != request_id:
            raise exceptions.AnswerMismatch()
        relayed_headers = [
            (name, value)
            for name, value in exchange.headers
            if name in RELAYED_ANSWER_HEADERS
        ]
        return exchange.status, relayed_headers, body


async def settle_failure(ledger, claim, exc, count):
    """Record in the ledger how a claimed run failed."""
    try:
        if exc.outcome is exceptions.Outcome.NOT_RUN:
            await ledger.release(claim)
        else:
            await ledger.mark_unknown(claim)
    except exceptions.KvError:
        count("ledger", "settle_failed")


async def settle_success(ledger, claim, answer, count):
    """Record in the ledger that a claimed run succeeded."""
    try:
        await ledger.complete(claim, answer)
    except exceptions.KvError:
        count("ledger", "settle_failed")
