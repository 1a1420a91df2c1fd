"""Runs a node without one of its safeguards, which the soak has to notice.

``python -m tests.soak.unsafe_node NAME node --settings FILE``
"""

import dataclasses
import itertools
import math
import sys

import trio

from coltsfootsail import __main__ as program
from coltsfootsail import _claims
from coltsfootsail import _fleet
from coltsfootsail import _gateway
from coltsfootsail import _held_memory
from coltsfootsail import _http_client
from coltsfootsail import _limited_servers
from coltsfootsail import _poison_parts
from coltsfootsail import _request_context
from coltsfootsail import _request_handler
from coltsfootsail import _server_limits
from coltsfootsail import _server_states
from coltsfootsail import _stream_origins
from coltsfootsail import _streams
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from tests.soak import clock_node


def _repeat_on_a_used_connection():
    _http_client._IdleConnection.may_carry = lambda self, request_id: True


def _trust_every_status():
    _upstream.check_no_false_promise = lambda status: None


def _retry_every_failure():
    _request_context.RequestContext.may_retry = lambda self, exc: True


def _believe_that_nothing_was_sent():
    def to_typed_error(phase, exc):
        return exceptions.EndpointUnreachable(str(exc))

    _upstream._to_typed_error = to_typed_error


def _promise_on_every_failure():
    _request_handler.error_status = lambda exc: 503


def _take_over_at_once():
    no_wait = _claims.TakeoverRules(turn_s=-10.0, lease_valid_s=-10.0)
    _claims.TakeoverRules = lambda turn_s, lease_valid_s: no_wait


def _stop_at_once():
    async def drain(self):
        self._nursery.cancel_scope.cancel()

    _gateway.Gateway.drain = drain


def _ignore_limits():
    _server_limits.ServerLimits.per_s = lambda self, name: math.inf


def _go_on_at_any_version():
    _streams.StreamForwarder._note_origin = lambda self, context, server: None
    _stream_origins.StreamOrigins.find = _find_nothing_bound


async def _find_nothing_bound(self, request_id, service):
    return _stream_origins.Origin(service, None)


def _ignore_statements(**heeded):
    """Note of an answer's statements only those that are named."""
    note_answer = _server_states.ServerStates.note_answer

    def note_some(self, name, statements, status):
        statements = dataclasses.replace(statements, **heeded)
        note_answer(self, name, statements, status)

    _server_states.ServerStates.note_answer = note_some


def _ignore_leaving():
    _ignore_statements(leaving=False)


def _ignore_busy():
    _ignore_statements(retry_after_s=None)


def _forget_crashes():
    _poison_parts.PartEvidence.add = lambda self, run: ()


def _ignore_brittle():
    _limited_servers.LimitedServers.needs_grant = lambda self, name: False


def _leave_silent_servers():
    send = _upstream.UpstreamClient.send

    async def send_briefly(self, server, request, timeout_s, *arguments):
        await send(self, server, request, SILENCE_S, *arguments)

    _upstream.UpstreamClient.send = send_briefly


def _swallow_errors():
    """Close the connections of some requests without a word."""
    handle = _request_handler.RequestHandler.handle
    numbers = itertools.count()

    async def handle_or_close(self, req, resp):
        if next(numbers) % ERROR_EVERY:
            await handle(self, req, resp)
        else:
            await trio.aclose_forcefully(resp.stream)

    _request_handler.RequestHandler.handle = handle_or_close


def _log_no_answers():
    _request_handler.RequestHandler._record_answered = (
        lambda self, context, status: None
    )


def _read_without_bound():
    _upstream.BODY_BYTES_MAX = _upstream.EVENT_BYTES_MAX = math.inf
    _held_memory.Account.has_room = lambda self, size_bytes: True


def _remember_keys():
    known = {}
    find = _fleet.KeyTable.find

    def find_ever(self, key):
        found = known[key] = find(self, key) or known.get(key)
        return found

    _fleet.KeyTable.find = find_ever


SILENCE_S = 1.0
ERROR_EVERY = 5  # requests of a node

REMOVALS = {
    "swallow_errors": _swallow_errors,
    "log_no_answers": _log_no_answers,
    "leave_silent_servers": _leave_silent_servers,
    "remember_keys": _remember_keys,
    "read_without_bound": _read_without_bound,
    "ignore_brittle": _ignore_brittle,
    "forget_crashes": _forget_crashes,
    "ignore_leaving": _ignore_leaving,
    "ignore_busy": _ignore_busy,
    "ignore_limits": _ignore_limits,
    "go_on_at_any_version": _go_on_at_any_version,
    "repeat_on_a_used_connection": _repeat_on_a_used_connection,
    "trust_every_status": _trust_every_status,
    "retry_every_failure": _retry_every_failure,
    "believe_that_nothing_was_sent": _believe_that_nothing_was_sent,
    "promise_on_every_failure": _promise_on_every_failure,
    "stop_at_once": _stop_at_once,
    "take_over_at_once": _take_over_at_once,
}

if __name__ == "__main__":
    clock_node.install()
    REMOVALS[sys.argv[1]]()
    del sys.argv[1]
    sys.exit(program.main())
