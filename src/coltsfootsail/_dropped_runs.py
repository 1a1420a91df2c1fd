"""Checks that an engine has dropped a request whose connection was closed.

A closed connection says nothing to an engine that is not scheduled or that
looks at its connection only when it writes.  A request may be sent elsewhere
only once the engine before no longer runs it, or can't be reached.
"""

import enum

import trio

from coltsfootsail import _logs
from coltsfootsail import exceptions
from coltsfootsail.platform import engines

REPORT_AGE_S = 0.3  # a report may be this old
REPORT_TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.4
POLL_S = 0.1
ANSWER_AGE_S = 0.1  # a shared answer may be this old
SLOW_POLL_S = 0.5  # once an engine has not dropped a request for a while
SLOW_AFTER_S = 1.5


class Contact(enum.StrEnum):
    """How an engine answers the question which requests it runs.

    ``NONE`` means that it accepts no connection, ``SILENT`` that it gives no
    report in time, and ``REFUSED`` that it gives none at all, as another
    server at its address does.
    """

    NONE = "none"
    SILENT = "silent"
    REFUSED = "refused"
    REPORT = "report"


# A server that is no longer registered has ended.
GONE = frozenset({Contact.NONE, Contact.REFUSED})
# Contacts after which it can become known that a run has been dropped.
MOVABLE = frozenset({Contact.NONE, Contact.REPORT})


class _Answer:
    """The answer of one engine, which several tasks may wait for."""

    def __init__(self):
        self.asked_s = trio.current_time()
        self.done = trio.Event()
        self.contact = Contact.SILENT
        self.report = None

    def is_current(self):
        """Tell whether it need not be asked for again."""
        is_young = trio.current_time() < self.asked_s + ANSWER_AGE_S
        return is_young or not self.done.is_set()


class RunReports:
    """Asks engines which requests they run, one question to each at a time.

    :param client: an ``HttpClient`` that keeps no connections.
    """

    def __init__(self, client):
        self._client = client
        self._answers = {}

    async def find_contact(self, server):
        """Find how an engine answers.

        :param server: the ``Server``.
        :returns: a ``Contact``.
        """
        return (await self._ask(server)).contact

    async def _ask(self, server):
        """Ask an engine for its report, or share the answer to another task.

        :returns: an ``_Answer``.
        """
        answer = self._answers.get(server.name)
        if answer is not None and answer.is_current():
            await answer.done.wait()
            return answer
        self._forget_old()
        answer = self._answers[server.name] = _Answer()
        try:
            answer.contact, answer.report = await _fetch(self._client, server)
        finally:
            answer.done.set()
        return answer

    def _forget_old(self):
        current = self._answers.items()
        self._answers = {n: each for n, each in current if each.is_current()}

    async def wait_until_dropped(self, server, request_id, is_registered):
        """Wait until a silent engine does not run a request any more.

        :param server: the ``Server``.
        :param is_registered: ``(server name) -> bool``.
        """
        closed_s = trio.current_time()
        reason = "no report"
        try:
            while True:
                answer = await self._ask(server)
                reason = _find_reason(answer, request_id, closed_s)
                if not reason or not is_registered(server.name):
                    break
                is_slow = trio.current_time() - closed_s > SLOW_AFTER_S
                await trio.sleep(SLOW_POLL_S if is_slow else POLL_S)
        finally:
            _logs.detail(
                "drop_checked",
                id=request_id,
                server=server.name,
                still=reason,
                after_s=round(trio.current_time() - closed_s, 3),
            )


async def _fetch(client, server):
    """Ask an engine for its report.

    :returns: ``Contact``, and the report or None.
    """
    if not await client.is_accepting(server.address, CONNECT_TIMEOUT_S):
        return Contact.NONE, None
    try:
        report = await engines.fetch_report(client, server, REPORT_TIMEOUT_S)
    except TimeoutError:
        return Contact.SILENT, None
    except (OSError, exceptions.BadField):
        return Contact.REFUSED, None
    return Contact.REPORT, report


def _find_reason(answer, request_id, closed_s):
    """Find why an engine may still run a request.

    :param answer: an ``_Answer``.
    :param closed_s: when the connection of the request was closed.
    :returns: the reason, empty if it does not run it.
    """
    if answer.contact is Contact.NONE:
        return ""
    if answer.report is None:
        return "no report"
    if answer.report.runs is None:
        return ""
    if request_id in answer.report.runs:
        return "it runs"
    is_old = answer.asked_s - closed_s < REPORT_AGE_S
    return "old report" if is_old else ""
