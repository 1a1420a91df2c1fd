"""Retry budgets, so that retries do not amplify an outage.

In the simple budget each success earns a share of a retry, up to a limit,
and each retry costs one.  Source: Google, "Site Reliability Engineering",
chapter 21.
"""

import collections

BUDGET_MAX = 20.0


class RetryBudget:
    """A node's budget of retries, which starts full.

    :param share: retries earned by one successful request.
    :param limit: most retries that can be saved up.
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
    """A node's part of a retry budget per service over all nodes.

    Within any window all nodes together may send ``ratio`` retries per
    request and ``extra`` more.  Each node keeps to the ratio for its own
    requests and to an equal part of the extra, so that the nodes need not
    communicate.

    :param ratio: retries allowed per request.
    :param extra: further retries allowed, over all nodes.
    :param window_s: length of the sliding window.
    :param nodes: ``() -> int``, number of nodes that share the extra.
    :param now: closure that reads the clock.
    """

    def __init__(self, ratio, extra, window_s, nodes, now):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._nodes = nodes
        self._now = now
        self._request_times = collections.defaultdict(collections.deque)
        self._retry_times = collections.defaultdict(collections.deque)

    def set_bounds(self, ratio, extra):
        """Change the ratio and the extra."""
        self._ratio = ratio
        self._extra = extra

    def _count_recent(self, times):
        oldest_s = self._now() - self._window_s
        while times and times[0] < oldest_s:
            times.popleft()
        return len(times)

    def request(self, service):
        """Count a caller's request for a service."""
        times = self._request_times[service]
        times.append(self._now())
        self._count_recent(times)

    def describe(self, service):
        """Get the inputs of the next decision, for the log."""
        return {
            "retries": self._count_recent(self._retry_times[service]),
            "requests": self._count_recent(self._request_times[service]),
            "extra": round(self._extra / max(1, self._nodes()), 2),
        }

    def spend(self, service):
        """Take a retry for a service.

        :returns: whether the budget allowed it.
        """
        allowance = self._ratio * self._count_recent(
            self._request_times[service]
        )
        allowance += self._extra / max(1, self._nodes())
        if self._count_recent(self._retry_times[service]) + 1 > allowance:
            return False
        self._retry_times[service].append(self._now())
        return True
