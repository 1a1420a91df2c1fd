"""Writing of streams to callers, event by event."""

import contextlib
import re

from coltsfootsail import _engine_speed
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

# The data field of an event, which a comment or a keep-alive lacks.
_DATA_FIELD = re.compile(rb"^data", re.MULTILINE)


def _nothing():
    """Do nothing."""


class StreamSink:
    """Writes a stream to the caller, from one or more servers in turn.

    :param resp: the response to the caller.
    :param extra_headers: closure that lists headers to add.
    :param now: closure that reads the clock.
    :param account: a ``_held_memory.Account`` for the events that are held.
    :param contained: closure that makes a context manager which contains
        the errors of notes.

    ``last_id`` is the id of the last event that was written.  ``is_broken``
    is set while a part of the answer may have been written and may not.
    ``before_events`` is called before the first events of each server are
    written.
    """

    def __init__(
        self,
        resp,
        extra_headers,
        now,
        account,
        contained=contextlib.nullcontext,
    ):
        self._resp = resp
        self._extra_headers = extra_headers
        self._now = now
        self.contained = contained
        self.account = account
        self._last_write_s = None
        self.splitter = _upstream.EventSplitter(account)
        self.before_events = _nothing
        self.started = False
        self.is_broken = False
        self.last_id = None
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self._gaps = _engine_speed.EventGaps()

    def begin_run(self):
        """Note that another server is about to send the events.

        What was split and not written comes again.
        """
        self.splitter.last_id = self.last_id
        self._gaps = _engine_speed.EventGaps()

    def shown_steps(self):
        """Get the events of the last server, and the time that they took."""
        return self._gaps.events, self._gaps.undisturbed_s()

    async def start(self, exchange):
        """Send the response head, unless that of an earlier server was."""
        if self.started:
            return
        headers = messages.answer_headers(exchange.headers)
        headers = [*headers, *self._extra_headers()]
        self.started = self.is_broken = True
        await self._resp.start(exchange.status, headers)
        self.is_broken = False

    async def write(self, data):
        """Write the complete events; keep the rest until it is complete.

        :returns: whether any of them has data; comments alone are no sign
            that the stream goes on.
        :raises AnswerMismatch: if the memory of all answers is used up.
        """
        events = self.splitter.feed(data)
        if not events:
            return False
        self.before_events()
        self.before_events = _nothing
        data_fields = len(_DATA_FIELD.findall(events))
        with self.contained():
            self._note_time(data_fields)
        with self.account.hold(len(events)) as has_room:
            if not has_room:
                raise exceptions.AnswerMismatch("memory of all answers")
            self.is_broken = True
            await self._resp.write(events)
            self.is_broken = False
            self.last_id = self.splitter.last_id
        return data_fields > 0

    def _note_time(self, data_fields):
        now_s = self._now()
        self._gaps.add(data_fields, now_s)
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self._last_write_s
            )
        self._last_write_s = now_s

    async def end(self):
        """End the response.

        :raises AnswerTruncated: if the stream ended within an event.
        """
        if self.splitter.pending():
            raise exceptions.AnswerTruncated("a part of an event at the end")
        self.is_broken = True
        await self._resp.end()
