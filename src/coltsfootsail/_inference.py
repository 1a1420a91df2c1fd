"""An inference request and the sink for its answer."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InferenceRequest:
    """A completion request whose adapter, version and class are resolved.

    :param adapter: ``name@version`` that must answer.
    :param rank: rank of the priority class; lower goes first.
    :param key: the idempotency key, or empty.
    :param body: JSON bytes for the engine, naming that adapter.
    :param fingerprint: hash of the content, by which strikes are counted.
    :param arrival_s: when the request arrived, on the node's clock.
    :param deadline_s: when the caller gives up, on the node's clock.
    :param max_wait_s: how long the request may wait in the queue.
    """

    request_id: str
    route: str
    adapter: str
    base: str
    rank: int
    protected: bool
    stream: bool
    idempotent: bool
    key: str
    body: bytes
    fingerprint: str
    arrival_s: float
    deadline_s: float
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseSink:
    """Callables that receive an answer.

    :param start: ``async (status, headers)``.
    :param write: ``async (data)``.
    :param end: ``async ()``; the answer is complete.
    :param hangup: ``async ()``; returns when the caller has disconnected.
    """

    start: collections.abc.Callable
    write: collections.abc.Callable
    end: collections.abc.Callable
    hangup: collections.abc.Callable
