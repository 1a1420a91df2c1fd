"""Property tests of the parsers with arbitrary input.

A parser returns a value of the right type or raises a typed error.
"""

import json

import hypothesis
from hypothesis import strategies
import msgpack
import pytest
import tomli_w
import trio
import trio.testing

from coltsfootsail import _config
from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _relay
from coltsfootsail import _requests
from coltsfootsail import _settings
from coltsfootsail import _wire
from coltsfootsail import exceptions

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20)
)
JSON = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
NAMES = strategies.from_regex(r"[a-z0-9][a-z0-9.-]{0,10}", fullmatch=True)


def _request(body, path="/v1/completions"):
    return _http.HttpRequest("POST", path, (), body)


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_body_is_parsed_or_refused(body):
    try:
        _requests.parse_completion(_request(body))
    except exceptions.BadRequest as exc:
        assert exc.outcome is exceptions.Outcome.NOT_RUN


@hypothesis.given(
    strategies.fixed_dictionaries(
        {},
        optional={
            "model": JSON,
            "prompt": JSON,
            "messages": JSON,
            "stream": JSON,
            "max_tokens": JSON,
        },
    ),
    strategies.sampled_from(["/v1/completions", "/v1/chat/completions"]),
)
def test_fields_of_arbitrary_type_are_parsed_or_refused(value, path):
    body = json.dumps(value).encode()
    try:
        completion = _requests.parse_completion(_request(body, path))
    except exceptions.BadRequest:
        return
    assert isinstance(completion.model, str)
    assert isinstance(completion.stream, bool)


@hypothesis.given(strategies.text(max_size=30))
def test_arbitrary_deadline_header_is_limited_or_refused(text):
    req = _http.HttpRequest("GET", "/", (("x-deadline-s", text),), b"")
    try:
        after_s = _requests.deadline_after_s(req, 60.0)
    except exceptions.BadDeadline:
        return
    assert 0 < after_s <= 60.0


@hypothesis.given(strategies.text(max_size=200))
def test_arbitrary_settings_text_is_refused_with_problems(text):
    with pytest.raises(exceptions.SettingsError) as caught:
        _settings.loads(text)
    assert caught.value.problems


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["node", "platform", "lease", "x"]),
        JSON.filter(lambda value: value is not None),
    )
)
def test_arbitrary_settings_tables_are_refused_with_paths(value):
    try:
        text = tomli_w.dumps(value)
    except TypeError:
        return
    with pytest.raises(exceptions.SettingsError) as caught:
        _settings.loads(text)
    assert all(problem.path for problem in caught.value.problems)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*_document.SECTIONS, "x"]),
        JSON,
        min_size=1,
    )
)
def test_arbitrary_document_is_accepted_or_refused_with_problems(value):
    try:
        _document.from_plain(value)
    except exceptions.DocumentError as exc:
        assert exc.problems


ADAPTERS = strategies.builds(
    lambda base, versions, extra: _document.Adapter(
        base=base, versions=tuple(versions), pin=versions[0], load_bytes=extra
    ),
    NAMES,
    strategies.lists(NAMES, min_size=1, max_size=3, unique=True),
    strategies.integers(0, 10**9),
)
DOCUMENTS = strategies.dictionaries(NAMES, ADAPTERS, max_size=8).map(
    lambda adapters: _document.Document(adapters=adapters)
)


@hypothesis.given(DOCUMENTS)
def test_document_round_trips_through_toml_and_chunks(document):
    assert _document.loads(_document.dumps(document)) == document
    positions = range(_config.CHUNK_COUNT)
    chunks = list(_config.encode_chunks(document, positions).values())
    rebuilt = _config.replace_chunks(_document.Document(), [], chunks)
    assert rebuilt == document


@hypothesis.given(DOCUMENTS, DOCUMENTS)
def test_applying_a_difference_gives_the_other_document(old, new):
    operations = _config.difference(old, new)
    assert _config.apply_operations(old, operations) == new


@hypothesis.given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_applying_edits_keeps_concurrent_edits_or_refuses(base, mine, theirs):
    their_operations = _config.difference(base, theirs)
    try:
        merged = _config.apply_operations(
            theirs, _config.difference(base, mine)
        )
    except exceptions.EditConflict:
        return
    their_keys = {(item.section, item.key) for item in their_operations}
    my_keys = {
        (item.section, item.key) for item in _config.difference(base, mine)
    }
    for section, key in their_keys - my_keys:
        entry = getattr(merged, section).get(key)
        assert entry == getattr(theirs, section).get(key)


@hypothesis.given(
    strategies.binary(max_size=100)
    | JSON.map(msgpack.packb)
    | strategies.builds(
        lambda tag, rest: msgpack.packb([tag, *rest]),
        strategies.integers(0, 20),
        strategies.lists(JSON, max_size=6),
    )
)
def test_arbitrary_bytes_from_a_peer_are_messages_or_wire_error(data):
    async def main():
        local, remote = trio.testing.memory_stream_pair()
        await remote.send_all(data)
        await remote.aclose()
        messages = _wire.MessageStream(local)
        try:
            while True:
                msg = await messages.receive()
                if msg is None:
                    return
                assert type(msg) in _wire.MESSAGES
        except exceptions.WireError:
            return

    trio.run(main)


@hypothesis.given(
    strategies.lists(strategies.text(max_size=20), min_size=1, max_size=6),
    strategies.integers(1, 40),
)
def test_stream_in_arbitrary_parts_passes_only_complete_events(texts, size):
    events = [
        "data: "
        + json.dumps({"id": "cmpl-r1", "model": "a@v1", "text": text})
        + "\n\n"
        for text in texts
    ]
    whole = "".join(events).encode() + b"data: [DONE]\n\n"
    checker = _relay.EventChecker("r1", "a@v1")
    passed = b""
    for start in range(0, len(whole), size):
        part = checker.feed(whole[start : start + size])
        assert part == b"" or part.endswith(b"\n\n")
        passed += part
    checker.finish()
    assert passed == whole
    assert checker.events == len(texts)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["r1", "r2"]), min_size=1, max_size=5
    ).filter(lambda ids: "r2" in ids)
)
def test_event_of_another_request_is_refused(ids):
    checker = _relay.EventChecker("r1", "a@v1")
    with pytest.raises(exceptions.AnswerMismatch):
        for name in ids:
            event = json.dumps({"id": f"cmpl-{name}", "model": "a@v1"})
            checker.feed(f"data: {event}\n\n".encode())


def test_ids_inside_the_text_of_an_event_are_not_accepted():
    text = 'cmpl-r1" "a@v1"'
    event = json.dumps({"id": "cmpl-r2", "model": "b@v1", "text": text})
    checker = _relay.EventChecker("r1", "a@v1")
    with pytest.raises(exceptions.AnswerMismatch):
        checker.feed(f"data: {event}\n\n".encode())
