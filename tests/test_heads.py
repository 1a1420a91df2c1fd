"""Messages of many small parts, and what one of them may cost."""

import dataclasses
import gc

import h11
import pytest
import trio
import trio.testing

from coltsfootsail import _http
from coltsfootsail import _http_client
from coltsfootsail import _http_messages
from coltsfootsail import _http_server
from tests import gateways

POST = b"POST / HTTP/1.1\r\nhost: n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


def _serve(data, limits=None):
    """Serve what one caller sends at once.

    :returns: the answers, and how many turns another task had meanwhile.
    """

    async def handle(req, resp):
        await resp.reply(200, b"%d" % len(req.body))

    async def talk(stream):
        await stream.send_all(data)
        await stream.send_eof()
        received = b""
        while part := await stream.receive_some(65536):
            received += part
        return received

    return _count_turns(
        lambda stream: _http.serve_connection(
            stream, limits or _http.HttpLimits(), handle
        ),
        talk,
    )


def _count_turns(serve, talk, is_counting=True):
    async def main():
        ours, theirs = trio.testing.memory_stream_pair()
        turns = 0

        async def count():
            nonlocal turns
            while is_counting:  # which keeps time from passing
                await trio.lowlevel.checkpoint()
                turns += 1

        async def serve_to_the_end():
            async with theirs:
                await serve(theirs)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(count)
            nursery.start_soon(serve_to_the_end)
            result = await talk(ours)
            nursery.cancel_scope.cancel()
        return result, turns

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_body_in_chunks_of_one_byte_is_refused():
    chunks = b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
    answers, _ = _serve(POST + CHUNKED + chunks)
    assert answers.startswith(b"HTTP/1.1 400 ")


def test_body_in_few_small_or_many_large_chunks_is_served():
    for size, count in ((1, 256), (1024, 900)):
        chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
        answers, _ = _serve(POST + CHUNKED + chunk * count + b"0\r\n\r\n")
        assert answers.endswith(b"\r\n\r\n%d" % (size * count))


def test_body_in_small_chunks_lets_other_tasks_run():
    chunks = (b"100\r\n" + b"x" * 256 + b"\r\n") * 4000
    answers, turns = _serve(POST + CHUNKED + chunks + b"0\r\n\r\n")
    assert answers.startswith(b"HTTP/1.1 200 ")
    assert turns >= 100  # 56 of the stream alone


def test_head_of_many_headers_is_refused_before_it_is_decoded(monkeypatch):
    decoded = _count_decoded(monkeypatch)
    answers, _ = _serve(POST + b"a:\r\n" * 2700 + b"\r\n")
    assert answers.startswith(b"HTTP/1.1 431 ")
    assert not decoded


def test_head_of_as_many_headers_as_allowed_is_served():
    count = _http_messages.HEADERS_MAX - 1
    answers, _ = _serve(POST + b"a:\r\n" * count + b"\r\n")
    assert answers.startswith(b"HTTP/1.1 200 ")


def _all_of_requests():
    return [
        each
        for each in gc.get_objects()
        if isinstance(each, h11.Request | h11.Connection)
        or (isinstance(each, tuple) and each[:1] == (("x-held", "y"),))
    ]


def _heads():
    return [each for each in gc.get_objects() if type(each) is h11.Request]


def test_refused_head_is_not_kept_while_its_caller_is_left(monkeypatch):
    held = []
    earlier = {id(each): each for each in _all_of_requests()}

    async def linger(stream):
        held.extend(
            each for each in _all_of_requests() if id(each) not in earlier
        )

    monkeypatch.setattr(_http_server, "_linger", linger)
    head = b"POST / HTTP/1.1\r\nx-held: y\r\nhost: n\r\n"
    # The second is refused for its chunks, long after its head was read.
    for rest in (b"a:\r\n" * 2700 + b"\r\n", CHUNKED + b"z\r\n"):
        gc.collect()
        answers, _ = _serve(head + rest)
        assert answers.startswith((b"HTTP/1.1 431 ", b"HTTP/1.1 400 "))
        assert not held


def test_refused_head_is_not_kept_while_it_is_answered(monkeypatch):
    held = []
    earlier = {id(each) for each in _heads()}
    answer_last = _http_server._answer_last

    async def answer(resp, exc):
        held.extend(each for each in _heads() if id(each) not in earlier)
        await answer_last(resp, exc)

    monkeypatch.setattr(_http_server, "_answer_last", answer)
    head = b"POST / HTTP/1.1\r\nhost: n\r\n" + b"a:\r\n" * 2700
    answers, _ = _serve(head + b"\r\n")
    assert answers.startswith(b"HTTP/1.1 431 ")
    assert not held


def test_configuration_does_not_undo_the_bound_of_heads():
    async def scenario(fleet):
        view = fleet.gateways["g0"].view
        limits = dataclasses.replace(
            view.deployment.limits, header_bytes=1_000_000_000
        )
        view.deployment = dataclasses.replace(view.deployment, limits=limits)
        stream = await fleet.net.network("caller").open_stream("g0:80")
        await stream.send_all(POST + b"x: " + b"y" * 140_000)
        with trio.fail_after(1.0):
            answer = await stream.receive_some()
        assert answer.startswith(b"HTTP/1.1 431 ")

    gateways.run(scenario, nodes=1)


@pytest.mark.parametrize("is_at_once", [True, False])
def test_little_is_read_behind_a_request_under_way(is_at_once):
    received = []

    async def handle(req, resp):
        receive = resp.stream.receive_some

        async def receive_some(max_bytes):
            received.append(await receive(max_bytes))
            return received[-1]

        resp.stream.receive_some = receive_some
        with trio.move_on_after(60.0):
            await resp.wait_hangup()
        await resp.reply(200, b"")

    async def talk(stream):
        await stream.send_all(POST + b"content-length: 0\r\n\r\n")
        for part in [b"x" * 100_000] if is_at_once else [b"x" * 100] * 1000:
            await trio.sleep(0.01)
            await stream.send_all(part)
        return await stream.receive_some(65536)

    answer, _ = _count_turns(
        lambda stream: _http.serve_connection(
            stream, _http.HttpLimits(), handle
        ),
        talk,
        is_counting=False,
    )
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert 0 < sum(map(len, received)) <= 8192


def test_close_behind_a_pipelined_request_is_seen():
    seen = []

    async def handle(req, resp):
        await resp.wait_hangup()
        seen.append(resp.has_hung_up)

    async def talk(stream):
        await stream.send_all(POST + b"content-length: 0\r\n\r\n")
        await trio.sleep(0.01)
        await stream.send_all(POST + b"content-length: 0\r\n\r\n")
        await trio.sleep(0.01)
        await stream.send_eof()
        await trio.sleep(0.01)

    _count_turns(
        lambda stream: _http.serve_connection(
            stream, _http.HttpLimits(), handle
        ),
        talk,
        is_counting=False,
    )
    assert seen == [True]


def _count_decoded(monkeypatch):
    decoded = []
    text_headers = _http_messages.text_headers

    def count(headers):
        decoded.append(len(headers))
        return text_headers(headers)

    monkeypatch.setattr(_http_messages, "text_headers", count)
    return decoded


def _read_answer(answer):
    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(answer)

    async def talk(stream):
        class _Network:
            now = staticmethod(trio.current_time)

            async def open_stream(self, address):
                return stream

        client = _http_client.HttpClient(_Network())
        async with client.exchange("a:1") as exchange:
            await exchange.send("GET", "/", [("host", "n")], b"")
            await exchange.read_head()
            return bytes(await exchange.read_body(1_000_000))

    return _count_turns(serve, talk)


@pytest.mark.parametrize(
    "head",
    [b"a:\r\n" * 2700, b"a: " + b"x" * 60_000 + b"\r\n"],
    ids=["many headers", "long header"],
)
@pytest.mark.parametrize("status", [b"200 OK", b"103 Early"])
def test_head_of_an_answer_is_bounded(monkeypatch, head, status):
    decoded = _count_decoded(monkeypatch)
    with pytest.RaisesGroup(_http_messages.AnswerTooLarge):
        _read_answer(b"HTTP/1.1 " + status + b"\r\n" + head + b"\r\n")
    assert not decoded


def test_answer_in_chunks_of_one_byte_lets_other_tasks_run():
    chunks = b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
    body, turns = _read_answer(b"HTTP/1.1 200 OK\r\n" + CHUNKED + chunks)
    assert body == b"x" * 10_000
    assert turns >= 10_000 / _http_messages.EVENTS_PER_TURN
