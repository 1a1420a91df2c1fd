"""The relay bench: what a node adds to a stream of token events.

Callers, node and engine run in one process on loopback.  The node's share
is the difference between streams through the node and streams on direct
connections to the engine, measured in the same run.
"""

import contextlib
import dataclasses
import json
import time

import trio

from coltsfootsail import _bench
from coltsfootsail import _deployment
from coltsfootsail import _embedded
from coltsfootsail import _net
from coltsfootsail.standins import engine

EVENTS_PER_READ = (1, 4, 16)
STREAMS = (1, 16, 100, 500)
TOTAL_BURSTS = 8000  # of a long round, over all its streams
MAX_BURSTS = 300
MIN_BURSTS = 4
BURST_INTERVAL_S = 0.002
EVENT_TEXT = " word"
DONE_EVENT = b"data: [DONE]\n\n"
REQUIRED_EVENTS_PER_CORE_S = 17_000
RECEIVE_MAX_BYTES = 262_144


class BurstEngine(engine.EngineStandIn):
    """An engine stand-in that writes bursts of equal events.

    A burst is encoded once for each request, so that the engine takes
    little of the CPU time.
    """

    events_per_burst = 1

    async def _stream(self, run, prompt, tokens, chat, resp):
        headers = [
            ("content-type", "text/event-stream"),
            ("x-request-id", run.request_id),
        ]
        await resp.start(200, headers)
        choice = self._choice(EVENT_TEXT, chat, True, False)
        event = json.dumps(self._answer(run, choice))
        data = f"data: {event}\n\n".encode() * self.events_per_burst
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        stream = resp.stream
        for _ in range(tokens // self.events_per_burst):
            await stream.send_all(chunk)
            await trio.sleep(BURST_INTERVAL_S)
        await resp.write(DONE_EVENT)
        await resp.end()


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one round.

    :param first_s: sorted times to the first read of each stream.
    :param gaps_s: sorted times between the reads of a stream.
    """

    cpu_s: float
    wall_s: float
    events: int
    first_s: list
    gaps_s: list


async def _read_stream(network, address, body, first_s, gaps_s):
    """Send a request and read its answer.

    :param first_s: list to which the time of the first read is added.
    :param gaps_s: list to which the times between reads are added.
    :returns: number of events read.
    """
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: n\r\n"
        f"x-request-id: direct\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    stream = await network.open_stream(address)
    events = 0
    tail = b""
    async with stream:
        await stream.send_all(head.encode() + body)
        last_s = time.perf_counter()
        started = False
        while not tail.endswith(b"0\r\n\r\n"):
            data = await stream.receive_some(RECEIVE_MAX_BYTES)
            if not data:
                break
            now_s = time.perf_counter()
            (gaps_s if started else first_s).append(now_s - last_s)
            started, last_s = True, now_s
            events += data.count(b'"finish_reason"')
            tail = (tail + data)[-5:]
    return events


async def _run_round(network, address, streams, bursts, per_read, model):
    """Read a number of streams at the same time.

    :param bursts: bursts in each stream.
    :param per_read: events in a burst.
    :returns: a ``Sample``.
    """
    tokens = per_read * bursts
    body = json.dumps(
        {
            "model": model,
            "prompt": "x",
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    first_s, gaps_s, counts = [], [], []

    async def read_one():
        counts.append(
            await _read_stream(network, address, body, first_s, gaps_s)
        )

    wall_s = time.perf_counter()
    cpu_s = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(read_one)
    return Sample(
        cpu_s=time.process_time() - cpu_s,
        wall_s=time.perf_counter() - wall_s,
        events=sum(counts),
        first_s=sorted(first_s),
        gaps_s=sorted(gaps_s),
    )


def _us_per_event(short, long):
    """Compute the CPU time of an event.

    The difference of two rounds leaves out the cost of the requests.
    """
    return (long.cpu_s - short.cpu_s) / (long.events - short.events) * 1e6


def _compare(direct, via_node, streams):
    """Compare streams through the node with direct ones.

    :param direct: a short and a long round on direct connections.
    :param via_node: a short and a long round through the node.
    :returns: plain data.
    """
    direct_event_us = _us_per_event(*direct)
    event_us = _us_per_event(*via_node) - direct_event_us
    request_us = (via_node[0].cpu_s - direct[0].cpu_s) / streams * 1e6
    request_us -= event_us * via_node[0].events / streams
    row = {
        "events": via_node[1].events,
        "node_cpu_us_per_event": round(event_us, 2),
        "direct_cpu_us_per_event": round(direct_event_us, 2),
        "events_per_core_s": round(1e6 / event_us) if event_us > 0 else None,
        "node_cpu_us_per_request": round(request_us, 1),
    }
    for name, share in (("p50", 0.50), ("p95", 0.95), ("p99", 0.99)):
        for field, key in (("first_s", "first_byte"), ("gaps_s", "gap")):
            added_s = _bench.percentile(
                getattr(via_node[1], field), share
            ) - _bench.percentile(getattr(direct[1], field), share)
            row[f"added_{key}_{name}_ms"] = round(added_s * 1e3, 3)
    return row


def _make_system():
    """Make a deployment of one host and one engine, a ``BurstEngine``.

    :returns: tuple of the deployment and the engine's name.
    """
    deployment = dataclasses.replace(
        _deployment.load("registry"), hosts=1, engines=1, engine_batch=1000
    )
    groups = tuple(
        dataclasses.replace(group, adapters=2) for group in deployment.groups
    )
    system = _embedded.on_loopback(
        dataclasses.replace(deployment, groups=groups)
    )
    name = next(iter(system.engines))
    system.engines[name] = BurstEngine(name, 8, 1000, system.store, True, 0.0)
    return system, name


async def _run_pair(network, address, streams, per_read, model):
    """Run a short and a long round, after a round to warm up."""
    bursts = max(MIN_BURSTS, min(MAX_BURSTS, TOTAL_BURSTS // streams))
    await _run_round(network, address, 1, MIN_BURSTS, per_read, model)
    burst_counts = (MIN_BURSTS, bursts + MIN_BURSTS)
    return [
        await _run_round(network, address, streams, count, per_read, model)
        for count in burst_counts
    ]


async def measure(streams=STREAMS, per_reads=EVENTS_PER_READ):
    """Measure all combinations of streams and events per read.

    :returns: plain data.
    """
    system, name = _make_system()
    network = _net.tcp_network()
    group = system.deployment.groups[0]
    model = f"{group.prefix}-0001@v2"
    rows = []
    async with system.running():
        node_address = system.caller_address(next(iter(system.hosts)))
        engine_address = system.addresses[name]
        await _run_round(network, node_address, 1, MIN_BURSTS, 1, model)
        for per_read in per_reads:
            BurstEngine.events_per_burst = per_read
            for count in streams:
                row = {"streams": count, "events_per_read": per_read}
                args = (count, per_read, model)
                direct = await _run_pair(network, engine_address, *args)
                via_node = await _run_pair(network, node_address, *args)
                rows.append({**row, **_compare(direct, via_node, count)})
    return {
        "required_events_per_core_s": REQUIRED_EVENTS_PER_CORE_S,
        "rows": rows,
    }


def run():
    """Run the bench.

    :returns: plain data, or None if it is interrupted.
    """
    with contextlib.suppress(KeyboardInterrupt):
        return trio.run(measure)


def lines(result):
    """Render the result as text."""
    yield (
        f"needed: {result['required_events_per_core_s']} events a second "
        "and core"
    )
    for row in result["rows"]:
        yield (
            f"{row['streams']:4} streams, {row['events_per_read']:2} events "
            f"a read: {row['node_cpu_us_per_event']:7.2f} us an event in "
            f"the node ({row['events_per_core_s']} a core-second), "
            f"{row['node_cpu_us_per_request']:7.0f} us a request, first "
            f"byte +{row['added_first_byte_p95_ms']} ms p95"
        )
