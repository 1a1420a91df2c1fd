"""Whether the largest tenth of the requests are served as others are.

Answers a queue that turns away what needs the most work, which would never
serve the largest requests.  The code does no I/O and has no clock.
"""

LARGE_SHARE = 0.1  # of the requests, by work
QUANTILE_STEP = 0.02  # by which the estimate moves with each request
KEPT_SHARE = 0.995  # of the weight of earlier requests, by each new one
# Large requests are turned away for others only while they are served at
# least this often, in relation to all: more than the half that is owed.
SERVED_RATIO_MIN = 0.8


class LargeRequests:
    """The share of large requests that an engine serves, and of all."""

    def __init__(self):
        self._large_work_s = 0.0
        self._asked = [0.0, 0.0]
        self._served = [0.0, 0.0]

    def is_large(self, work_s):
        """Tell whether a request belongs to the largest tenth."""
        return work_s >= self._large_work_s

    def note_asked(self, work_s):
        """Note a request that has arrived."""
        if not self._large_work_s:
            self._large_work_s = work_s
        step = QUANTILE_STEP * self._large_work_s
        if work_s > self._large_work_s:
            self._large_work_s += step * (1.0 - LARGE_SHARE)
        else:
            self._large_work_s -= step * LARGE_SHARE
        for sums in (self._asked, self._served):
            sums[:] = [KEPT_SHARE * each for each in sums]
        self._add(self._asked, work_s)

    def note_served(self, work_s):
        """Note a request that has started."""
        self._add(self._served, work_s)

    def _add(self, sums, work_s):
        sums[False] += 1.0
        sums[True] += self.is_large(work_s)

    def may_yield(self, work_s):
        """Tell whether a request may be turned away for its work."""
        if not self.is_large(work_s):
            return True
        return self._served_share(True) >= (
            SERVED_RATIO_MIN * self._served_share(False)
        )

    def _served_share(self, is_large):
        return self._served[is_large] / max(1.0, self._asked[is_large])
