"""How often adapters are asked for, as exponentially decayed counts."""

import math

HALF_LIFE_S = 900.0


class Popularity:
    """Estimates request rates of many adapters.

    An adapter costs one row while its rate is above ``forget_below``;
    idle ones are dropped when the table is swept.

    :param half_life_s: after this time a request counts half.
    """

    def __init__(self, half_life_s=HALF_LIFE_S):
        self._decay = math.log(2) / half_life_s
        self._rows = {}

    def __len__(self):
        return len(self._rows)

    def add(self, adapter, now_s, weight=1.0):
        """Count a request."""
        count, since_s = self._rows.get(adapter, (0.0, now_s))
        aged = count * math.exp(-self._decay * (now_s - since_s))
        self._rows[adapter] = (aged + weight, now_s)

    def rate(self, adapter, now_s):
        """Estimate an adapter's request rate.

        A decayed sum of unit counts at rate r settles at r / decay.

        :returns: weighted requests per second.
        """
        row = self._rows.get(adapter)
        if row is None:
            return 0.0
        count, since_s = row
        return count * math.exp(-self._decay * (now_s - since_s)) * self._decay

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

    def top(self, count, now_s):
        """List the most requested adapters, highest rate first."""
        return sorted(
            self._rows, key=lambda name: self.rate(name, now_s), reverse=True
        )[:count]
