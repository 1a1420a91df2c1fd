"""A retry budget, so that retries never multiply an outage.

Each success earns a share of a retry, up to a limit; each retry costs
one.  Source: Google, "Site Reliability Engineering", chapter 21.
"""

import collections

BUDGET_MAX = 20.0


class RetryBudget:
    """How many retries a node may still make.

    :param share: retries earned by one successful request.
    """

    def __init__(self, share, limit=BUDGET_MAX):
        self.share = share
        self._limit = limit
        self._tokens = limit

    def earn(self):
        """Note a successful request."""
        self._tokens = min(self._limit, self._tokens + self.share)

    def spend(self):
        """Take a retry.

        :returns: whether the budget allowed it.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class WindowBudget:
    """A node's share of a budget that all nodes keep for each service.

    Within any window the fleet may send ``ratio`` times its requests and
    ``extra`` more.  Each node keeps to its own requests' share and to its
    part of the extra, so that nothing has to be told between nodes.

    :param ratio: repeats allowed for each request.
    :param extra: repeats allowed besides, over all nodes.
    :param window_s: length of the window.
    :param nodes: ``() -> int``, the nodes that share the extra.
    :param now: closure that reads the clock.
    """

    def __init__(self, ratio, extra, window_s, nodes, now):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._nodes = nodes
        self._now = now
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def set_bounds(self, ratio, extra):
        """Change what the fleet may send."""
        self._ratio = ratio
        self._extra = extra

    def _count(self, times):
        oldest_s = self._now() - self._window_s
        while times and times[0] < oldest_s:
            times.popleft()
        return len(times)

    def request(self, service):
        """Note a caller's request for a service."""
        times = self._requests[service]
        times.append(self._now())
        self._count(times)

    def spend(self, service):
        """Take one repeat.

        :returns: whether the budget allowed it.
        """
        earned = self._ratio * self._count(self._requests[service])
        earned += self._extra / max(1, self._nodes())
        if self._count(self._repeats[service]) + 1 > earned:
            return False
        self._repeats[service].append(self._now())
        return True
