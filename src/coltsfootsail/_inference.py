"""A request on its way through the filters."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InferenceRequest:
    """A request for an adapter, resolved and ready to be placed.

    :param adapter: ``name@version`` that must answer.
    :param body: JSON bytes for the engine, naming that adapter.
    :param deadline_s: when the caller gives up, on the node's clock.
    :param fingerprint: names the content, for strikes.
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
    """Where an answer goes, as closures.

    :param start: ``async (status, headers)``.
    :param write: ``async (data)``.
    :param end: ``async ()``; the answer is whole.
    :param hangup: ``async ()``; returns when nobody waits any more.
    """

    start: collections.abc.Callable
    write: collections.abc.Callable
    end: collections.abc.Callable
    hangup: collections.abc.Callable
