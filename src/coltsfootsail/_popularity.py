"""Request rates of adapters, from exponentially decayed counts."""

import itertools
import math

HALF_LIFE_S = 900.0
ADAPTERS_MAX = 65_536
# Dropped together, because the first entry of a table whose first ones were
# deleted takes long to find.
DROPPED_AT_ONCE = 4096
NAME_MAX_CHARS = 256


class Popularity:
    """Estimates the request rates of many adapters.

    An adapter takes one table entry until a sweep finds its rate below
    ``forget_below``.  Callers choose the names: of more than
    ``ADAPTERS_MAX`` those that were not counted for longest are forgotten,
    and longer names than ``NAME_MAX_CHARS`` are not counted.

    The rate is the decayed count divided by the sum of the decayed time
    since the first request and ``prior_s``, so that a single request does
    not yield a high rate.  If an adapter has had no request for much
    longer than its rate predicts, the rate is bounded by that time.

    :param half_life_s: time after which a request counts half.
    :param prior_s: time without requests assumed before the first one.
    :param patience: number of expected requests that may fail to come
        before the rate is bounded.
    """

    def __init__(self, half_life_s=HALF_LIFE_S, prior_s=300.0, patience=3.0):
        self._decay = math.log(2) / half_life_s
        self._prior_s = prior_s
        self._patience = patience
        self._counts = {}

    def __len__(self):
        return len(self._counts)

    def __contains__(self, adapter):
        return adapter in self._counts

    def add(self, adapter, now_s, weight=1.0):
        """Count a request, which may weigh less or more than one."""
        if len(adapter) > NAME_MAX_CHARS:
            return
        # The table is in the order of the last requests.
        entry = self._counts.pop(adapter, (0.0, now_s, now_s))
        count, last_s, first_s = entry
        decayed = count * math.exp(-self._decay * (now_s - last_s))
        self._counts[adapter] = (decayed + weight, now_s, first_s)
        if len(self._counts) > ADAPTERS_MAX:
            oldest = itertools.islice(self._counts, DROPPED_AT_ONCE)
            for name in list(oldest):
                del self._counts[name]

    def rate(self, adapter, now_s):
        """Estimate an adapter's request rate.

        :returns: weighted requests per second.
        """
        entry = self._counts.get(adapter)
        if entry is None:
            return 0.0
        count, last_s, first_s = entry
        silent_s = now_s - last_s
        decayed = count * math.exp(-self._decay * silent_s)
        seen_share = 1.0 - math.exp(-self._decay * (now_s - first_s))
        rate = decayed / (seen_share / self._decay + self._prior_s)
        if rate * silent_s <= self._patience:
            return rate
        return self._patience / silent_s

    def sweep(self, now_s, forget_below=1e-6):
        """Drop the adapters with a rate below ``forget_below``.

        :returns: number of adapters dropped.
        """
        negligible = [
            name
            for name in self._counts
            if self.rate(name, now_s) < forget_below
        ]
        for name in negligible:
            del self._counts[name]
        return len(negligible)
