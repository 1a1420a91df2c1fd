"""Streams that are taken up go on at the software version that began them."""

import logging

import trio

from coltsfootsail.platform import messages
from tests import gateways


def _adapter(number):
    return f"base/a{number % 5}"


def _register_versions(fleet):
    """Give the engines two software versions in turn."""
    for number, engine in enumerate(fleet.engines):
        engine.software = f"v{1 + number % 2}"
        engine.register()


def _runs_by_request(fleet):
    """Get the engines that ran each request.

    :returns: dict of request id to list of ``ModelServer``, in order.
    """
    runs = sorted(
        (run.started_s, run.request_id, engine)
        for engine in fleet.engines
        for run in engine.runs
    )
    by_request = {}
    for _, request_id, engine in runs:
        by_request.setdefault(request_id, []).append(engine)
    return by_request


def test_sends_are_logged_with_the_software_version_and_event(caplog):
    async def scenario(fleet):
        _register_versions(fleet)
        await trio.sleep(2.0)
        await fleet.call(
            "/prints/1",
            adapter="base/a7",
            headers=[(messages.RESUMES, "r0"), (messages.LAST_EVENT, "2")],
        )

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    (request,) = [r for r in caplog.records if r.message == "request"]
    assert request.resumes == "r0"
    (sent,) = [r for r in caplog.records if r.message == "sent"]
    assert sent.software in ("v1", "v2")
    assert sent.after_event == "2"
    servers = [r for r in caplog.records if r.message == "server"]
    assert {r.software for r in servers} >= {"v1"}
