"""Checks that an engine has dropped a request whose connection was closed.

A closed connection says nothing to an engine that is not scheduled or that
looks at its connection only when it writes.  A request may be sent elsewhere
only once the engine before no longer runs it, or can't be reached.
"""

import trio

from coltsfootsail import _logs
from coltsfootsail import exceptions
from coltsfootsail.platform import engines

DROP_TIMEOUT_S = 1.5  # callers leave a silent stream soon after
REPORT_AGE_S = 0.3  # a report may be this old
REPORT_TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.4
POLL_S = 0.1


async def wait_until_dropped(client, server, request_id, is_registered):
    """Wait until a silent engine does not run a request any more.

    :param client: an ``HttpClient`` that keeps no connections.
    :param server: the ``Server``.
    :param is_registered: ``(server name) -> bool``.
    :raises EndpointStillRuns: if that is not known after
        ``DROP_TIMEOUT_S``.
    """
    closed_s = trio.current_time()
    reason = "no report"
    with trio.move_on_after(DROP_TIMEOUT_S):
        while True:
            reason = await _find_reason(client, server, request_id, closed_s)
            if not reason or not is_registered(server.name):
                break
            await trio.sleep(POLL_S)
    _logs.detail(
        "drop_checked",
        id=request_id,
        server=server.name,
        still=reason,
        after_s=round(trio.current_time() - closed_s, 3),
    )
    if reason and is_registered(server.name):
        raise exceptions.EndpointStillRuns(reason)


async def _find_reason(client, server, request_id, closed_s):
    """Find why an engine may still run a request.

    :returns: the reason, empty if it does not run it.
    """
    if not await client.is_accepting(server.address, CONNECT_TIMEOUT_S):
        return ""
    asked_s = trio.current_time()
    try:
        report = await engines.fetch_report(client, server, REPORT_TIMEOUT_S)
    except (OSError, exceptions.BadField):
        return "no report"
    if report.runs is None:
        return ""
    if request_id in report.runs:
        return "it runs"
    return "" if asked_s - closed_s >= REPORT_AGE_S else "old report"
