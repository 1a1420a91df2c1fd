"""How fast an engine reads prompts, learned from its first events.

Answers load on engines that are faster or slower than expected, or turn
slow for a while: prompts that start too close together delay the tokens of
all streams, those too far apart make requests wait for nothing.  The code
does no I/O and has no clock.

The speed is the ratio of the tokens read to the times until the first
events, both as decayed sums.  A request can only be slower than its engine,
because it waited for something else, and not faster; those that were slower
than expected therefore weigh less.
"""

DELAY_S = 0.01  # to the first event, beside the reading
ASSUMED_TOKENS_PER_S = 19000.0
ASSUMED_TOKENS = 4000.0  # weight of the assumption against what was read
KEPT_SHARE = 0.96  # of the weight of earlier requests, by each new one
SLOWER_WEIGHT = 0.4  # of requests that were slower than expected
SURPRISE_MAX = 4.0  # a slower request counts as this many times expected


class ReadingSpeed:
    """The reading speed of one engine."""

    def __init__(self):
        self._tokens = ASSUMED_TOKENS
        self._read_s = ASSUMED_TOKENS / ASSUMED_TOKENS_PER_S

    def add(self, tokens, first_event_s):
        """Learn from a request.

        :param tokens: prompt tokens that the engine had to read.
        :param first_event_s: time from its start to its first event.
        """
        expected_s = self.read_s(tokens)
        read_s = min(first_event_s - DELAY_S, SURPRISE_MAX * expected_s)
        read_s = max(read_s, expected_s / SURPRISE_MAX)
        weight = SLOWER_WEIGHT if read_s > expected_s else 1.0
        self._tokens = KEPT_SHARE * self._tokens + weight * tokens
        self._read_s = KEPT_SHARE * self._read_s + weight * read_s

    def read_s(self, tokens):
        """Get the time that the engine needs to read prompt tokens."""
        return tokens * self._read_s / self._tokens

    def first_event_s(self, tokens):
        """Get the time from a start to the first event."""
        return DELAY_S + self.read_s(tokens)
