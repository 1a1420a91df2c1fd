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


async def _ask(client, server):
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


async def find_contact(client, server):
    """Find how an engine answers.

    :param client: an ``HttpClient`` that keeps no connections.
    :param server: the ``Server``.
    :returns: a ``Contact``.
    """
    contact, _ = await _ask(client, server)
    return contact


async def wait_until_dropped(client, server, request_id, is_registered):
    """Wait until a silent engine does not run a request any more.

    :param client: an ``HttpClient`` that keeps no connections.
    :param server: the ``Server``.
    :param is_registered: ``(server name) -> bool``.
    """
    closed_s = trio.current_time()
    reason = "no report"
    try:
        while True:
            reason = await _find_reason(client, server, request_id, closed_s)
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


async def _find_reason(client, server, request_id, closed_s):
    """Find why an engine may still run a request.

    :returns: the reason, empty if it does not run it.
    """
    asked_s = trio.current_time()
    contact, report = await _ask(client, server)
    if contact is Contact.NONE:
        return ""
    if report is None:
        return "no report"
    if report.runs is None:
        return ""
    if request_id in report.runs:
        return "it runs"
    return "" if asked_s - closed_s >= REPORT_AGE_S else "old report"
