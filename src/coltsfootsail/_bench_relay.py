"""The relay bench: what a node adds to a stream of token events.

Everything runs in one process on loopback, so the node's share is the
difference between the path through it and a direct connection, measured
in the same run.
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
EVENTS_TOTAL = 8000
BURSTS_MAX = 300
BURSTS_MIN = 4
PACE_S = 0.002
TEXT = " word"
DONE = b"data: [DONE]\n\n"
REQUIRED_EVENTS_PER_S = 17_000
RECEIVE_BYTES = 262_144


class BurstEngine(engine.EngineStandIn):
    """An engine stand-in that writes events in bursts, at little cost."""

    burst = 1

    async def _stream(self, run, prompt, tokens, chat, resp):
        headers = [
            ("content-type", "text/event-stream"),
            ("x-request-id", run.request_id),
        ]
        await resp.start(200, headers)
        choice = self._choice(TEXT, chat, True, False)
        event = json.dumps(self._answer(run, choice))
        data = f"data: {event}\n\n".encode() * self.burst
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        stream = resp.stream
        for _ in range(tokens // self.burst):
            await stream.send_all(chunk)
            await trio.sleep(PACE_S)
        await resp.write(DONE)
        await resp.end()


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One measured round.

    :param gaps_s: sorted times between reads of one stream.
    """

    cpu_s: float
    wall_s: float
    events: int
    first_s: list
    gaps_s: list


async def _read_stream(network, address, body, first_s, gaps_s):
    """Send a request and read its answer, noting the times of reads."""
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
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                break
            now_s = time.perf_counter()
            (gaps_s if started else first_s).append(now_s - last_s)
            started, last_s = True, now_s
            events += data.count(b'"finish_reason"')
            tail = (tail + data)[-5:]
    return events


async def _round(network, address, streams, bursts, per_read, model):
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

    async def one():
        counts.append(
            await _read_stream(network, address, body, first_s, gaps_s)
        )

    wall_s = time.perf_counter()
    cpu_s = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(one)
    return Sample(
        cpu_s=time.process_time() - cpu_s,
        wall_s=time.perf_counter() - wall_s,
        events=sum(counts),
        first_s=sorted(first_s),
        gaps_s=sorted(gaps_s),
    )


def _slope_us(short, long):
    """Compute the cost of an event without that of a request."""
    return (long.cpu_s - short.cpu_s) / (long.events - short.events) * 1e6


def _compare(direct, through, streams):
    """Compare pairs of a short and a long round."""
    plain_us = _slope_us(*direct)
    event_us = _slope_us(*through) - plain_us
    setup_us = (through[0].cpu_s - direct[0].cpu_s) / streams * 1e6
    setup_us -= event_us * through[0].events / streams
    row = {
        "events": through[1].events,
        "node_cpu_us_per_event": round(event_us, 2),
        "direct_cpu_us_per_event": round(plain_us, 2),
        "events_per_core_s": round(1e6 / event_us) if event_us > 0 else None,
        "node_cpu_us_per_request": round(setup_us, 1),
    }
    for name, share in (("p50", 0.50), ("p95", 0.95), ("p99", 0.99)):
        for field, key in (("first_s", "first_byte"), ("gaps_s", "gap")):
            added_s = _bench.percentile(
                getattr(through[1], field), share
            ) - _bench.percentile(getattr(direct[1], field), share)
            row[f"added_{key}_{name}_ms"] = round(added_s * 1e3, 3)
    return row


def _system():
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


async def _pair(network, address, streams, per_read, model):
    """Measure a short and a long round, after one that warms up."""
    bursts = max(BURSTS_MIN, min(BURSTS_MAX, EVENTS_TOTAL // streams))
    await _round(network, address, 1, BURSTS_MIN, per_read, model)
    sizes = (BURSTS_MIN, bursts + BURSTS_MIN)
    return [
        await _round(network, address, streams, size, per_read, model)
        for size in sizes
    ]


async def measure(streams=STREAMS, per_reads=EVENTS_PER_READ):
    """Measure all combinations.

    :returns: plain data.
    """
    system, name = _system()
    network = _net.tcp_network()
    group = system.deployment.groups[0]
    model = f"{group.prefix}-0001@v2"
    rows = []
    async with system.running():
        caller = system.caller_address(next(iter(system.hosts)))
        direct = system.addresses[name]
        await _round(network, caller, 1, BURSTS_MIN, 1, model)
        for per_read in per_reads:
            BurstEngine.burst = per_read
            for count in streams:
                row = {"streams": count, "events_per_read": per_read}
                sizes = (count, per_read, model)
                plain = await _pair(network, direct, *sizes)
                through = await _pair(network, caller, *sizes)
                rows.append({**row, **_compare(plain, through, count)})
    return {
        "required_events_per_core_s": REQUIRED_EVENTS_PER_S,
        "rows": rows,
    }


def run():
    """Measure and return plain data."""
    with contextlib.suppress(KeyboardInterrupt):
        return trio.run(measure)


def lines(result):
    """Render the result for people."""
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
