"""A model server goes dark; requests for it are under way meanwhile."""

import itertools
import pathlib

import harness
import trio

ORDERS_PER_GATEWAY = 12  # kept connections with one order at a time
STREAMS_PER_S = 14.0  # at each gateway
ADAPTERS = 10
DARK_S = 4.8  # srv_crash, how = "dark", for_s of lmpar-core.toml
EPISODES = 9  # at most; no more once the rule is broken
LOST_MAX = 3  # "more than three times"

answers = []
numbers = itertools.count(1)


async def send_orders(deployment, gateway, record):
    """Send orders on one kept connection, one after the other."""
    conn = harness.Connection(gateway.at["caller"])
    while True:
        request_id = f"order-{next(numbers):06d}"
        try:
            answer = await conn.send(f"/orders/{request_id}", request_id)
        except (OSError, trio.TooSlowError):
            await trio.sleep(0.2)
            continue
        answers.append(answer)
        if answer.status is None:
            record(
                f"{request_id} at {gateway.name}: connection closed "
                f"without an answer, kept={answer.kept}"
            )
        await trio.sleep(0.02)


async def send_streams(deployment, gateway, record):
    """Send requests to the model servers at a steady rate."""

    async def send_one(number):
        conn = harness.Connection(gateway.at["caller"])
        request_id = f"note-{number:06d}"
        headers = harness.prompt_headers(f"base/a{number % ADAPTERS}")
        try:
            answer = await conn.send(f"/notes/{number}", request_id, headers)
            record(
                f"{request_id} at {gateway.name}: {answer.status} "
                f"whole={answer.whole}"
            )
        except (OSError, trio.TooSlowError):
            return
        finally:
            await conn.close()

    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(send_one, next(numbers))
            await trio.sleep(1.0 / STREAMS_PER_S)


async def main(deployment, record):
    for shop in deployment.plain:
        shop.work_s = 0.3
    async with trio.open_nursery() as nursery:
        for gateway in deployment.gateways:
            for _ in range(ORDERS_PER_GATEWAY):
                nursery.start_soon(send_orders, deployment, gateway, record)
            nursery.start_soon(send_streams, deployment, gateway, record)
        await trio.sleep(8.0)
        for _ in range(EPISODES):
            victim = deployment.engines[0]
            if harness.TROUBLE:
                record(f"model server {victim.name} goes dark")
                await victim.go_dark()
            await trio.sleep(harness.EXPIRY_S)
            if harness.TROUBLE:
                record(f"the entry of {victim.name} expires")
                deployment.store.drop(f"servers/{victim.name}")
            await trio.sleep(DARK_S - harness.EXPIRY_S)
            if harness.TROUBLE:
                victim.end()
                deployment.engines.remove(victim)
                await deployment.add_engine(models={})
            await trio.sleep(4.0)
            if len(find_lost(deployment)) > LOST_MAX:
                break
        nursery.cancel_scope.cancel()
    return judge(deployment, record)


def find_lost(deployment):
    """List the orders on kept connections that ran and got no answer."""
    ran = {run.request_id for shop in deployment.plain for run in shop.runs}
    return [
        answer.request_id
        for answer in answers
        if answer.status is None
        and not answer.any_bytes
        and answer.kept
        and answer.request_id in ran
    ]


def judge(deployment, record):
    """LOST: passed on to a sound server, and closed without an answer."""
    lost = find_lost(deployment)
    exits = sum(gateway.exits for gateway in deployment.gateways)
    served = sum(answer.status == 200 for answer in answers)
    record(
        f"orders {len(answers)}, with 200 {served}; lost {len(lost)}: "
        f"{' '.join(lost)}"
    )
    record(f"gateway processes that ended by themselves: {exits}")
    print(
        f"orders {len(answers)}, served {served}, lost {len(lost)}; "
        f"exits {exits}"
    )
    if served < 100:
        return harness.NOT_RUN
    return harness.BROKEN if len(lost) > LOST_MAX else harness.HELD


harness.run(main, pathlib.Path(__file__).parent, nodes=3, engines=3)
