"""Validates completion requests and builds the requests for dispatch.

The functions are pure; each returns a typed result or raises a refusal.
"""

import dataclasses
import json
import math
import uuid

from coltsfootsail import _document
from coltsfootsail import _inference
from coltsfootsail import _poison
from coltsfootsail import exceptions

DEADLINE_HEADER = "x-deadline-s"
PRIORITY_HEADER = "x-priority-class"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MODEL_CHARS_MAX = 200
PROTECTED_PRIORITY = 0
COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A valid completion request as received from a caller.

    :param value: the decoded JSON body.
    """

    route: str
    model: str
    stream: bool
    value: dict


def new_request_id():
    """Generate a unique request id."""
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


_CONTENT_CHECKS = {COMPLETIONS_PATH: _check_prompt, CHAT_PATH: _check_messages}


def parse_completion(req):
    """Parse and validate a completion request.

    :param req: an ``HttpRequest``.
    :returns: a ``CompletionRequest``.
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
    return CompletionRequest(req.path, model, stream, value)


def deadline_after_s(req, limit_s):
    """Read from the deadline header how long the caller waits.

    :param limit_s: the node's own limit.
    :returns: seconds from now, at most ``limit_s``.
    :raises BadDeadline: if the header is not a positive number.
    """
    text = req.header(DEADLINE_HEADER)
    if not text:
        return limit_s
    try:
        timeout_s = float(text)
    except ValueError as exc:
        raise exceptions.BadDeadline() from exc
    if not timeout_s > 0 or math.isinf(timeout_s):
        raise exceptions.BadDeadline()
    return min(timeout_s, limit_s)


def choose_class(document, req, resolved):
    """Choose the priority class of a request.

    A caller may request a less urgent class than the configured one.

    :returns: a ``PriorityClass``.
    :raises BadField: if the requested class is unknown or more urgent.
    """
    configured = _document.priority_class_of(document, resolved.priority)
    requested = req.header(PRIORITY_HEADER)
    if not requested:
        return configured
    if requested not in document.classes:
        raise exceptions.BadField(f"no priority class {requested[:80]!r}")
    priority_class = document.classes[requested]
    if priority_class.rank < configured.rank:
        raise exceptions.BadField("the class is more urgent than allowed")
    return priority_class


def make_request(completion, resolved, priority_class, key, now_s, timeout_s):
    """Build the request that is placed and dispatched.

    :param completion: the caller's ``CompletionRequest``.
    :param resolved: the ``ResolvedModel`` of its model name.
    :param priority_class: the ``PriorityClass``.
    :param key: the idempotency key, or empty.
    :param now_s: the current time in seconds.
    :param timeout_s: how long the caller waits.
    :returns: an ``InferenceRequest``.
    """
    value = dict(completion.value)
    content = json.dumps(value, sort_keys=True).encode()
    value["model"] = resolved.adapter
    value["priority"] = (
        PROTECTED_PRIORITY if priority_class.protected else priority_class.rank
    )
    return _inference.InferenceRequest(
        request_id=new_request_id(),
        route=completion.route,
        adapter=resolved.adapter,
        base=resolved.base,
        rank=priority_class.rank,
        protected=priority_class.protected,
        stream=completion.stream,
        idempotent=not key,
        key=key,
        body=json.dumps(value, ensure_ascii=False).encode(),
        fingerprint=_poison.fingerprint(resolved.adapter, content),
        arrival_s=now_s,
        deadline_s=now_s + timeout_s,
        max_wait_s=priority_class.max_wait_s,
    )
