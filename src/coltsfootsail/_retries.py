"""A retry budget, so that retries never multiply an outage.

Each success earns a share of a retry, up to a limit; each retry costs
one.  Source: Google, "Site Reliability Engineering", chapter 21.
"""

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
