"""Order confirmations whose callers send the body in small chunks."""

import http.client
import json
import pathlib
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import bed as beds
from coltsfootsail.standins import servers
from coltsfootsail.standins import users

REQUESTS = 100
ARTICLES = 400  # of one order, which makes a body of 2.3 KB


def confirm(address, request_id, order, in_chunks):
    """Send a request as the standard library of Python does.

    :param in_chunks: whether the JSON text is sent as it is encoded.
    """
    connection = http.client.HTTPConnection(address, timeout=3)
    body = json.dumps(order).encode()
    headers = {
        "Host": users.HOST,
        "Coltsfootsail-Request-Id": request_id,
        "Coltsfootsail-Deadline-Ms": "3000",
        "Content-Type": "application/json",
    }
    if in_chunks:
        headers["Transfer-Encoding"] = "chunked"
        body = (text.encode() for text in json.JSONEncoder().iterencode(order))
    try:
        connection.request(
            "POST", "/orders/confirm", body, headers, encode_chunked=in_chunks
        )
        answer = connection.getresponse()
        stamp = answer.getheader("coltsfootsail-server-stamp")
        return answer.status, bool(stamp), answer.read()
    finally:
        connection.close()


async def case(bed, nursery):
    shops = []
    for number, zone in enumerate(bed.zones):
        server = servers.PlainServer(f"i-shop-{number}")
        place = beds.Place(server.serve)
        await nursery.start(place.listen)
        bed.store.put(
            f"servers/{server.name}", users.plain_entry(place.address, zone=zone)
        )
        shops.append(server)
    await bed.wait_ready()
    await trio.sleep(3)
    denied = 0
    for number in range(REQUESTS):
        node = bed.names[number % len(bed.names)]
        order = {
            "order": number,
            "articles": [1000 + number + each for each in range(ARTICLES)],
        }
        request_id = bed.new_id()
        status, is_stamped, body = await trio.to_thread.run_sync(
            confirm,
            bed.addresses[node]["front"],
            request_id,
            order,
            bed.trouble,
        )
        runs = sum(
            run.request_id == request_id for shop in shops for run in shop.runs
        )
        bed.record(
            "answer",
            id=request_id,
            node=node,
            status=status,
            stamped=is_stamped,
            runs=runs,
            body=body[:120],
        )
        denied += 300 <= status < 500 and not is_stamped
        await trio.sleep(0.05)
    bed.record(
        "summary",
        requests=REQUESTS,
        denied=denied,
        allowed=5 + REQUESTS / 500,
    )
    return denied > 5 + REQUESTS / 500


beds.main(case, pathlib.Path(__file__).parent)
