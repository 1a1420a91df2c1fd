"""The first filters: from a received request to typed work.

Pure functions; each returns a typed result or raises a refusal.
"""

import dataclasses
import json
import math
import uuid

from coltsfootsail import _document
from coltsfootsail import _poison
from coltsfootsail import _work
from coltsfootsail import exceptions

DEADLINE_HEADER = "x-deadline-s"
PRIORITY_HEADER = "x-priority-class"
KEY_HEADER = "idempotency-key"
MODEL_CHARS_MAX = 200
PROTECTED_PRIORITY = 0
COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A checked completion request."""

    route: str
    model: str
    stream: bool
    value: dict


def new_request_id():
    """Make an id for a request."""
    return uuid.uuid4().hex


def _check_prompt(value):
    prompt = value.get("prompt")
    if not isinstance(prompt, str):
        raise exceptions.BadField("prompt is not a text")


def _check_messages(value):
    messages = value.get("messages")
    if not isinstance(messages, list) or not messages:
        raise exceptions.BadField("messages is not a list of messages")
    for message in messages:
        if not isinstance(message, dict) or "content" not in message:
            raise exceptions.BadField("a message has no content")


_CONTENT_CHECKS = {COMPLETIONS: _check_prompt, CHAT: _check_messages}


def parse_completion(req):
    """Check a completion request.

    :param req: an ``HttpRequest``.
    :returns: a ``Completion``.
    :raises BadRequest: if it is not well formed.
    """
    value = req.json()
    model = value.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MODEL_CHARS_MAX:
        raise exceptions.BadField("model is not a name")
    _CONTENT_CHECKS[req.path](value)
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        raise exceptions.BadField("stream is not true or false")
    tokens = value.get("max_tokens", 16)
    if type(tokens) is not int or not 0 < tokens <= 1_000_000:
        raise exceptions.BadField("max_tokens is not a count")
    return Completion(req.path, model, stream, value)


def deadline_after_s(req, longest_s):
    """Read how long the caller waits.

    :param longest_s: the node's own limit.
    :returns: seconds from now.
    :raises BadDeadline: if the header is not a positive number.
    """
    text = req.header(DEADLINE_HEADER)
    if not text:
        return longest_s
    try:
        after_s = float(text)
    except ValueError as exc:
        raise exceptions.BadDeadline() from exc
    if not after_s > 0 or math.isinf(after_s):
        raise exceptions.BadDeadline()
    return min(after_s, longest_s)


def choose_class(document, req, resolved):
    """Choose the priority class of a request.

    A caller may ask for a less urgent class than the configured one.

    :returns: a ``PriorityClass``.
    :raises BadField: if it asks for an unknown or more urgent class.
    """
    configured = _document.priority_class_of(document, resolved.priority)
    asked = req.header(PRIORITY_HEADER)
    if not asked:
        return configured
    if asked not in document.classes:
        raise exceptions.BadField(f"no priority class {asked[:80]!r}")
    wanted = document.classes[asked]
    if wanted.rank < configured.rank:
        raise exceptions.BadField("the class is more urgent than allowed")
    return wanted


def make_work(completion, resolved, kind, key, now_s, after_s):
    """Build the work that is placed and dispatched.

    :param kind: the ``PriorityClass``.
    :param key: the idempotency key, or empty.
    :returns: a ``Work``.
    """
    value = dict(completion.value)
    content = json.dumps(value, sort_keys=True).encode()
    value["model"] = resolved.adapter
    value["priority"] = PROTECTED_PRIORITY if kind.protected else kind.rank
    return _work.Work(
        request_id=new_request_id(),
        route=completion.route,
        adapter=resolved.adapter,
        base=resolved.base,
        rank=kind.rank,
        protected=kind.protected,
        stream=completion.stream,
        idempotent=not key,
        key=key,
        body=json.dumps(value, ensure_ascii=False).encode(),
        fingerprint=_poison.fingerprint(resolved.adapter, content),
        arrival_s=now_s,
        deadline_s=now_s + after_s,
        max_wait_s=kind.max_wait_s,
    )
