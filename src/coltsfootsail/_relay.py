"""Checks that answers belong to their requests while they are relayed.

Event streams are relayed in complete events, all those of one read at a
time; each event must name the request and the adapter.  Counting byte
patterns per read is cheaper than decoding JSON per token.  Quotes inside
JSON text are escaped, so the patterns can't occur in generated text.
"""

import json

from coltsfootsail import exceptions

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
EVENT_BYTES_MAX = 1_048_576


class EventChecker:
    """Checks the events of one stream.

    :param request_id: the id sent with the request.
    :param adapter: ``name@version``.
    """

    def __init__(self, request_id, adapter):
        self._id_pattern = f'cmpl-{request_id}"'.encode()
        self._adapter_pattern = f'"{adapter}"'.encode()
        self._partial_event = b""
        self.done = False
        self.events = 0

    def feed(self, data):
        """Process received bytes.

        :returns: the bytes of the events that are now complete, checked.
        :raises AnswerMismatch: if an event belongs to another request, is
            too large, or follows the end of the stream.
        """
        if self._partial_event:
            data = self._partial_event + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._partial_event = data[end:]
        if len(self._partial_event) > EVENT_BYTES_MAX:
            raise exceptions.AnswerMismatch("event too large")
        complete = data[:end] if self._partial_event else data
        if complete:
            self._check(complete)
        return complete

    def _check(self, complete):
        if self.done:
            raise exceptions.AnswerMismatch("events after the end")
        events = complete.count(EVENT_END)
        if complete.endswith(DONE_EVENT + EVENT_END):
            self.done = True
            events -= 1
        ids = complete.count(self._id_pattern)
        adapters = complete.count(self._adapter_pattern)
        if ids != events or adapters != events:
            raise exceptions.AnswerMismatch(
                "an event names another request or adapter"
            )
        self.events += events

    def finish(self):
        """Check that the stream is complete.

        :raises AnswerTruncated: if its final event is missing.
        """
        if self._partial_event or not self.done:
            raise exceptions.AnswerTruncated()


def check_body(body, request_id, adapter):
    """Check an answer that is not a stream.

    :raises AnswerMismatch: if it does not belong to this request.
    :raises AnswerTruncated: if it has no finish reason.
    """
    try:
        value = json.loads(body)
        identity = (value["id"], value["model"])
        reasons = [choice["finish_reason"] for choice in value["choices"]]
    except (ValueError, KeyError, TypeError) as exc:
        raise exceptions.AnswerMismatch("not a completion") from exc
    if identity != (f"cmpl-{request_id}", adapter):
        raise exceptions.AnswerMismatch()
    if not reasons or None in reasons:
        raise exceptions.AnswerTruncated()


def error_event(exc):
    """Build the event that ends a stream on an error."""
    value = {
        "error": {
            "code": exc.code,
            "outcome": str(exc.outcome),
            "message": exc.detail,
        }
    }
    return b"data: " + json.dumps(value).encode() + EVENT_END
