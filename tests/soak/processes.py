"""The store and the servers of a soak, as processes of their own.

``python -m tests.soak.processes ROLE NAME ADDRESS RECORDS SEED SHARE NAMES
LIMIT_PAUSE_S BRITTLE EVENT_S`` runs one of them; ``ROLE`` is ``store``,
``engine`` or ``plain``, ``SHARE`` the share of requests that a server answers
badly and ``NAMES`` the behaviours to choose from, separated by commas.  A
server names a limit now and then, and refuses all requests with a retry time,
unless ``LIMIT_PAUSE_S``, the mean pause, is 0.  Plain servers become brittle
unless ``BRITTLE``, the refusals a second that they bear, is 0.  Engines take
``EVENT_S`` for an event.
"""

import collections
import random
import signal
import sys

import trio

from coltsfootsail import _net
from coltsfootsail.platform import messages
from coltsfootsail.standins import servers
from coltsfootsail.standins import store
from coltsfootsail.standins import users
from tests.soak import answers
from tests.soak import protocol
from tests.soak import records

PLAIN_SLOTS = 6
BRITTLE_SLOWDOWN = 30.0
COPIES = 12  # of the store, the oldest of which it may come back from
COPY_INTERVAL_S = 0.5


class PlainProcess(servers.PlainServer):
    """A server of a plain service that answers some requests badly."""

    def __init__(self, name, faulty_answers):
        super().__init__(name)
        self._faulty_answers = faulty_answers

    async def serve(self, stream):
        """Serve one connection."""
        await self._faulty_answers.serve(stream, self._handle)

    async def _handle(self, req, resp):
        self._faulty_answers.note_arrival(req)
        if self._misdirected(req):
            await resp.reply(421, b"", self._faulty_answers.head(req))
        elif self._faulty_answers.open_runs >= PLAIN_SLOTS:
            await self._faulty_answers.refuse_for_want_of_room(req, resp)
        else:
            await self._faulty_answers.answer(req, resp, self._work)

    async def _work(self, req, resp, factor=1.0):
        async def work():
            is_brittle = self._faulty_answers.brittle
            slowdown = BRITTLE_SLOWDOWN if is_brittle else 1.0
            await trio.sleep(self.work_s * factor * slowdown)
            body = protocol.plain_body(req.header(protocol.CONTENT))
            await resp.reply(
                200,
                body,
                [*self._faulty_answers.head(req), servers.STAMP_HEADER],
            )
            return "done"

        await self._faulty_answers.run(req, resp, work)


class _NoStore:
    """Takes the registrations of a server that others register."""

    def put(self, key, value):
        pass


class EngineProcess(servers.ModelServer):
    """A model server that answers some requests badly."""

    def __init__(self, name, address, faulty_answers, event_s):
        super().__init__(name, _NoStore(), address)
        self._faulty_answers = faulty_answers
        self.running = faulty_answers.running
        self.events = 8
        self.event_s = event_s
        self.software = protocol.software(name.split("-")[1])

    async def serve(self, stream):
        """Serve one connection."""
        await self._faulty_answers.serve(stream, self._handle)

    def _order(self, req):
        if not self._misdirected(req):
            self._faulty_answers.record_order(req.json())
        return super()._order(req)

    async def _run(self, req, resp):
        self._faulty_answers.note_arrival(req)
        adapter = req.header(messages.MODEL).partition("/")[2]
        version = self.adapters.get(adapter, 0) if adapter else 1
        expected = req.header(messages.EXPECT_VERSION)
        other = expected and int(expected) != version
        if self._misdirected(req) or not version or other:
            await resp.reply(421, b"", self._faulty_answers.head(req))
        elif protocol.CRASHING_PART in servers.prompt_parts(req)[:-1]:
            headers = [*self._faulty_answers.head(req), servers.STAMP_HEADER]
            await resp.start(200, headers)
            self._faulty_answers.crash(req)
        else:
            await self._faulty_answers.answer(req, resp, self._work)

    async def _work(self, req, resp, factor=1.0):
        after = int(req.header(messages.LAST_EVENT) or -1)
        content = req.header(protocol.CONTENT)

        async def work():
            headers = [*self._faulty_answers.head(req), servers.STAMP_HEADER]
            await resp.start(
                200, [*headers, ("content-type", "text/event-stream")]
            )
            for number in range(after + 1, self.events):
                await trio.sleep(self.event_s * factor)
                await self._faulty_answers.speaking.wait()
                event = protocol.event(content, number, self.software)
                await resp.write(event)
            await resp.end()
            return "done"

        await self._faulty_answers.run(req, resp, work)


async def _serve_store(address, rng):
    """Run the store; let it come back from an older copy on ``SIGUSR1``."""
    stand_in = store.StoreStandIn(records.now_s)
    stand_in.era = 1
    stand_in.put("op/config", users.configuration(1))
    copies = collections.deque(maxlen=COPIES)

    async def keep_copies():
        while True:
            copies.append(stand_in.copy())
            await trio.sleep(COPY_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_copies)
        handler = stand_in.connection_handler("store")
        nursery.start_soon(_serve, address, handler)
        with trio.open_signal_receiver(signal.SIGUSR1) as signals:
            async for _ in signals:
                copy = rng.choice(copies)
                copies.clear()
                await stand_in.restore(copy, rng.uniform(0.1, 1.0))


async def _serve(address, handler):
    async def handle(stream):
        try:
            await handler(stream)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    await _net.tcp_network().serve(address, handle)


async def _serve_requests(
    role, name, address, faulty_answers, limit_pause_s, brittle, event_s
):
    """Run a server of the service that is its role."""
    if role == "engine":
        server = EngineProcess(name, address, faulty_answers, event_s)
    else:
        server = PlainProcess(name, faulty_answers)
    async with trio.open_nursery() as nursery:
        if limit_pause_s:
            nursery.start_soon(faulty_answers.name_limits, limit_pause_s)
            nursery.start_soon(faulty_answers.be_busy, limit_pause_s)
        if brittle and role == "plain":
            nursery.start_soon(faulty_answers.become_brittle, brittle)
        nursery.start_soon(_leave_on_signal, faulty_answers)
        nursery.start_soon(_pause_streams_on_signal, faulty_answers)
        await _serve(address, server.serve)


async def _leave_on_signal(faulty_answers):
    """State in all answers after ``SIGUSR2`` that the server leaves."""
    with trio.open_signal_receiver(signal.SIGUSR2) as signals:
        async for _ in signals:
            faulty_answers.leaving = True


async def _pause_streams_on_signal(faulty_answers):
    """Let all streams pause on ``SIGUSR1``, until the next one."""
    with trio.open_signal_receiver(signal.SIGUSR1) as signals:
        async for _ in signals:
            if faulty_answers.speaking.is_set():
                faulty_answers.speaking = trio.Event()
            else:
                faulty_answers.speaking.set()


def main(
    role,
    name,
    address,
    path,
    seed,
    share,
    names,
    limit_pause_s,
    brittle,
    event_s,
):
    """Run one process until it is killed."""
    rng = random.Random(f"{seed}/{name}")
    if role == "store":
        trio.run(_serve_store, address, rng)
        return
    faulty_answers = answers.FaultyAnswers(
        name, records.Writer(path), rng, float(share), names.split(",")
    )
    trio.run(
        _serve_requests,
        role,
        name,
        address,
        faulty_answers,
        float(limit_pause_s),
        int(brittle),
        float(event_s),
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
