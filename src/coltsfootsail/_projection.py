"""When the waiting requests of an engine are expected to start.

The code does no I/O and has no clock.  Requests that wait for their adapter
to load let others go first, so they count as ahead of another request only if
their adapter is expected by the time at which that one would start.
"""

import dataclasses
import heapq


@dataclasses.dataclass(slots=True)
class Bindings:
    """What the start of one more request has to wait for.

    Each wait is proportional to what goes beyond a room.  The last three
    fields sum up the requests that are to start before.

    :param pause_s: until the next prompt may start.
    :param read_s_per_token: pace of prompts.
    :param slots: free slots.
    :param s_per_slot: mean time until one more becomes free.
    :param memory: free memory in tokens.
    :param s_per_memory: mean time until one more token becomes free.
    :param limit_starts: starts that the server's limit allows now.
    :param s_per_start: time until it allows one more, 0 without a limit.
    """

    pause_s: float
    read_s_per_token: float
    slots: float
    s_per_slot: float
    memory: float
    s_per_memory: float
    limit_starts: float
    s_per_start: float
    read_tokens: int = 0
    memory_tokens: int = 0
    count: int = 0

    def wait_s(self, request):
        """Get the wait of a request behind those that were added."""
        wait_s = self.pause_s + self.read_s_per_token * self.read_tokens
        excess = self.count + 1 - self.slots
        if excess > 0:
            wait_s = max(wait_s, excess * self.s_per_slot)
        excess = self.memory_tokens + request.memory_tokens - self.memory
        if excess > 0:
            wait_s = max(wait_s, excess * self.s_per_memory)
        excess = self.count + 1 - self.limit_starts
        if excess > 0:
            wait_s = max(wait_s, excess * self.s_per_start)
        return wait_s

    def add(self, request):
        """Let a request start before those that are asked for later."""
        self.read_tokens += request.read_tokens
        self.memory_tokens += request.memory_tokens
        self.count += 1


class Projection:
    """Projects the starts of requests that are given in order.

    :param bindings: ``Bindings`` without a request.
    """

    def __init__(self, bindings):
        self._bindings = bindings
        self._loading = []

    def wait_s(self, request, load_wait_s):
        """Get the expected wait of the next request in order."""
        wait_s = self._bindings.wait_s(request)
        while self._loading and self._loading[0][0] <= wait_s:
            self._bindings.add(heapq.heappop(self._loading)[2])
            wait_s = self._bindings.wait_s(request)
        return max(wait_s, load_wait_s)

    def add(self, request, load_wait_s):
        """Let a request go before those that follow in order."""
        if load_wait_s > 0.0:
            entry = (load_wait_s, request.number, request)
            heapq.heappush(self._loading, entry)
        else:
            self._bindings.add(request)

    def wait_without_s(self, request, other):
        """Get the expected wait of a request if another one goes."""
        bindings = dataclasses.replace(
            self._bindings,
            read_tokens=self._bindings.read_tokens - other.read_tokens,
            memory_tokens=self._bindings.memory_tokens - other.memory_tokens,
            count=self._bindings.count - 1,
        )
        return bindings.wait_s(request)
