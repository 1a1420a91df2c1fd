"""How long to wait for the answer to an order before it is repeated.

Answers the load pattern in which an engine leaves a part of its orders
unanswered while many requests wait for loads: each second of waiting for
such an answer is a second without loads.  The code does no I/O and has no
clock.

The timeout follows RFC 6298: the smoothed answer time and four times its
mean deviation, doubled after each timeout in a row.
"""

SMOOTHED_WEIGHT = 1 / 8  # of the newest answer time
DEVIATION_WEIGHT = 1 / 4  # of the newest deviation
DEVIATIONS = 4  # added to the smoothed time
TIMEOUT_MIN_S = 0.05  # above the delays of a busy host


class AnswerTimes:
    """The answer times of one server.

    :param longest_s: timeout before any answer, and the longest one.
    """

    def __init__(self, longest_s):
        self._longest_s = longest_s
        self._smoothed_s = None
        self._deviation_s = 0.0
        self._factor = 1

    def timeout_s(self):
        """Get how long to wait for the next answer."""
        if self._smoothed_s is None:
            return self._longest_s
        expected_s = self._smoothed_s + DEVIATIONS * self._deviation_s
        return min(
            self._longest_s, self._factor * max(TIMEOUT_MIN_S, expected_s)
        )

    def add(self, answer_s):
        """Note the time that an answer took."""
        self._factor = 1
        if self._smoothed_s is None:
            self._smoothed_s, self._deviation_s = answer_s, answer_s / 2
            return
        error_s = answer_s - self._smoothed_s
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        self._smoothed_s += SMOOTHED_WEIGHT * error_s

    def add_timeout(self):
        """Note that no answer came in time.

        :returns: whether a longer timeout is worth a try.
        """
        is_longest = self.timeout_s() >= self._longest_s
        self._factor *= 2
        return not is_longest
