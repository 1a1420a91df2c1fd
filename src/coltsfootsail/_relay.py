"""Checks that an answer belongs to its request while it is passed on.

An event stream is passed on in whole events, as many as one read
brought, and each must name the request and the adapter.  The check
counts byte patterns per read instead of decoding JSON per token; a quote
inside JSON text is escaped, so the patterns can't occur in the text.
"""

import json

from coltsfootsail import exceptions

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
HELD_BYTES_MAX = 1_048_576


class EventChecker:
    """Checks one event stream.

    :param request_id: the id sent with the request.
    :param adapter: ``name@version``.
    """

    def __init__(self, request_id, adapter):
        self._id = f'cmpl-{request_id}"'.encode()
        self._adapter = f'"{adapter}"'.encode()
        self._held = b""
        self.done = False
        self.events = 0

    def feed(self, data):
        """Take received bytes.

        :returns: the bytes of whole, checked events.
        :raises AnswerMismatch: if an event is not of this request.
        """
        if self._held:
            data = self._held + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._held = data[end:]
        if len(self._held) > HELD_BYTES_MAX:
            raise exceptions.AnswerMismatch("event too large")
        whole = data[:end] if self._held else data
        if whole:
            self._check(whole)
        return whole

    def _check(self, whole):
        if self.done:
            raise exceptions.AnswerMismatch("events after the end")
        events = whole.count(EVENT_END)
        if whole.endswith(DONE + EVENT_END):
            self.done = True
            events -= 1
        ids = whole.count(self._id)
        adapters = whole.count(self._adapter)
        if ids != events or adapters != events:
            raise exceptions.AnswerMismatch(
                "an event names another request or adapter"
            )
        self.events += events

    def finish(self):
        """Check that the stream is whole.

        :raises AnswerTruncated: if its end mark is missing.
        """
        if self._held or not self.done:
            raise exceptions.AnswerTruncated()


def check_body(body, request_id, adapter):
    """Check an answer that came in one piece.

    :raises AnswerMismatch: if it is not of this request.
    :raises AnswerTruncated: if it has no finish reason.
    """
    try:
        value = json.loads(body)
        found = (value["id"], value["model"])
        reasons = [choice["finish_reason"] for choice in value["choices"]]
    except (ValueError, KeyError, TypeError) as exc:
        raise exceptions.AnswerMismatch("not a completion") from exc
    if found != (f"cmpl-{request_id}", adapter):
        raise exceptions.AnswerMismatch()
    if not reasons or None in reasons:
        raise exceptions.AnswerTruncated()


def error_event(exc):
    """Build the event that ends a stream that can't be completed."""
    value = {
        "error": {
            "code": exc.code,
            "outcome": str(exc.outcome),
            "message": exc.detail,
        }
    }
    return b"data: " + json.dumps(value).encode() + EVENT_END
