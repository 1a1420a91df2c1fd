"""How often adapters are asked for, as exponentially decayed counts."""

import math

HALF_LIFE_S = 900.0


class Popularity:
    """Estimates request rates of many adapters.

    An adapter costs one row while its rate is above ``forget_below``;
    idle ones are dropped when the table is swept.

    The rate is the decayed count over the decayed time since the adapter
    was first seen, plus ``prior_s`` so that one request is no rate.  An
    adapter that has been silent for much longer than its rate foretells
    is taken to have lost its popularity.

    :param half_life_s: after this time a request counts half.
    :param prior_s: time without requests assumed before the first.
    :param patience: expected requests that may stay out before the rate
        is bounded by the silence.
    """

    def __init__(self, half_life_s=HALF_LIFE_S, prior_s=300.0, patience=3.0):
        self._decay = math.log(2) / half_life_s
        self._prior_s = prior_s
        self._patience = patience
        self._rows = {}

    def __len__(self):
        return len(self._rows)

    def __contains__(self, adapter):
        return adapter in self._rows

    def add(self, adapter, now_s, weight=1.0):
        """Count a request."""
        count, last_s, first_s = self._rows.get(adapter, (0.0, now_s, now_s))
        aged = count * math.exp(-self._decay * (now_s - last_s))
        self._rows[adapter] = (aged + weight, now_s, first_s)

    def rate(self, adapter, now_s):
        """Estimate an adapter's request rate.

        :returns: weighted requests per second.
        """
        row = self._rows.get(adapter)
        if row is None:
            return 0.0
        count, last_s, first_s = row
        silent_s = now_s - last_s
        aged = count * math.exp(-self._decay * silent_s)
        seen = 1.0 - math.exp(-self._decay * (now_s - first_s))
        rate = aged / (seen / self._decay + self._prior_s)
        if rate * silent_s <= self._patience:
            return rate
        return self._patience / silent_s

    def sweep(self, now_s, forget_below=1e-6):
        """Drop adapters whose rate has become negligible.

        :returns: number of rows dropped.
        """
        idle = [
            name
            for name in self._rows
            if self.rate(name, now_s) < forget_below
        ]
        for name in idle:
            del self._rows[name]
        return len(idle)
