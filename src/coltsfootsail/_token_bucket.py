"""A token bucket, the usual bound on a rate with short bursts.

The code has no clock: each call states the time.
"""

import math

ROUNDING = 1e-9  # of tokens, by which a sum of additions may fall short


class TokenBucket:
    """Tokens that are added at a fixed rate, up to a maximum.

    :param per_s: tokens added in a second.
    :param burst: the most tokens that can be saved up.
    :param tokens: the tokens at the beginning.
    :param now_s: the time at the beginning.
    """

    def __init__(self, per_s, burst, tokens, now_s):
        self.per_s = per_s
        self._burst = burst
        self._tokens = tokens
        self._updated_s = now_s

    def _refill(self, now_s):
        added = max(0.0, now_s - self._updated_s) * self.per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._updated_s = max(now_s, self._updated_s)

    def set_rate(self, per_s, burst, now_s):
        """Change the rate from now on."""
        self._refill(now_s)
        self.per_s, self._burst = per_s, burst
        self._tokens = min(burst, self._tokens)

    def wait_s(self, now_s, count=1):
        """Get the time until a number of tokens has been added."""
        self._refill(now_s)
        missing = count - self._tokens
        if missing <= ROUNDING:
            return 0.0
        return missing / self.per_s if self.per_s else math.inf

    def level(self, now_s):
        """Get the number of tokens, which is negative after an overdraft."""
        self._refill(now_s)
        return self._tokens

    def room(self, now_s):
        """Get the number of tokens that may be added before it is full."""
        return self._burst - self.level(now_s)

    def add(self, count, now_s):
        """Add tokens, or take them even if there are too few."""
        self._refill(now_s)
        self._tokens = min(self._burst, self._tokens + count)

    def try_take(self, now_s):
        """Take one token if there is one.

        :returns: whether a token was taken.
        """
        self._refill(now_s)
        if self._tokens < 1.0 - ROUNDING:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
