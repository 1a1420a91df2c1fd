"""One crash of a model server lets every machine refuse a summary for good."""

import collections
import pathlib
import signal
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
import bed3  # noqa: E402

CALLERS = 8  # who ask for the same summary
PAUSE_S = 0.7  # of a caller between two requests
LENGTH_S = 32.0
CRASH_AT_S = 8.0
DOWN_S = 4.5
SETTLED_S = 20.0  # long after the crash
SERVERS = 5
TARGET = "/summaries/tea-bowls"
BODY = b'{"prompt": "Summarise the exhibition of tea bowls.", "catalogue": 57}'
EVENTS, EVENT_S = 57, 0.035


async def case(folder, trouble):
    configuration = {
        "version": 3,
        "routes": [
            # As catalogue-summary in the site file.
            bed3.route(
                "/summaries/",
                "streaming",
                "kotoba",
                timeoutMs=25000,
                sloMs=1000,
                gapSloMs=300,
                attempts=1,
                resumable=False,
            )
        ],
        "services": [
            {"name": "kotoba", "maxConns": 370, "engine": bed3.ENGINE}
        ],
        "limits": bed3.LIMITS,
    }
    bed = bed3.Bed(folder, configuration)
    statuses = collections.Counter()
    late_statuses = collections.Counter()
    places = {}

    async def start_server(name, place):
        address = bed.start_server(
            "model", name, place, events=EVENTS, event_s=EVENT_S
        )
        places[name] = place
        await bed.wait_listening(address)
        bed.register_model_server(name, address)

    async def start_servers():
        for number in range(SERVERS):
            await start_server(f"i-e{number}", f"server-{number}")

    async def ask(caller):
        number = 0
        await trio.sleep(0.1 * caller)
        while trio.current_time() < end_s:
            number += 1
            place = f"{bed.nodes[caller % len(bed.nodes)]}/caller"
            answer = await bed.call(
                "POST",
                TARGET,
                place,
                headers=[
                    ("coltsfootsail-model", "base/a7"),
                    ("coltsfootsail-tokens", "1460,170"),
                    (
                        "coltsfootsail-prompt-prefix",
                        f"5c1e:210,91bd:140,{caller:x}{number:x}:1110",
                    ),
                ],
                body=BODY,
                request_id=f"{caller:04x}{number:04x}",
                deadline_ms=25000,
            )
            own = "coltsfootsail-server-stamp" not in answer.headers
            whole = "" if answer.whole else ", broken off"
            kind = f"{answer.status}{' of the system' if own else ''}{whole}"
            statuses[kind] += 1
            if trio.current_time() > begun_s + SETTLED_S:
                late_statuses[kind] += 1
            await trio.sleep(PAUSE_S)

    async def crash():
        """Kill the server that runs the summaries, as srv_crash does."""
        await trio.sleep(CRASH_AT_S)
        name = [e for e in bed.events() if e["event"] == "begins"][-1]["server"]
        bed.kill(name, signal.SIGKILL)
        await trio.sleep(bed3.EXPIRY_S)
        bed.unregister(name)
        await trio.sleep(DOWN_S - bed3.EXPIRY_S)
        await start_server(f"{name}-new", places[name])

    async with bed.running(start_servers):
        begun_s = trio.current_time()
        end_s = begun_s + LENGTH_S
        async with trio.open_nursery() as nursery:
            if trouble:
                nursery.start_soon(crash)
            for caller in range(CALLERS):
                nursery.start_soon(ask, caller)
        bed.note_server_events()
        bed.note_node_events("strike")
    asked = sum(statuses.values())
    denied = sum(
        count
        for kind, count in statuses.items()
        if kind.startswith(("3", "4"))
        and "of the system" in kind
        and not kind.startswith(("408", "421", "429"))
    )
    allowed = 5 + asked / 500
    bed.record.add(f"answers: {dict(statuses)}")
    bed.record.add(
        f"answers later than {SETTLED_S - CRASH_AT_S:g} s after the crash: "
        f"{dict(late_statuses)}"
    )
    bed.record.add(f"DENIED: {denied} of {asked}, allowed {allowed:.1f}")
    print(f"DENIED: {denied} of {asked}; late answers: {dict(late_statuses)}")
    return denied <= allowed


bed3.run(case, pathlib.Path(__file__).parent)
