"""When callers that are turned away are told to come back.

Answers callers that all come back at once, when there is room for one of
them.  The code does no I/O and has no clock.
"""

RETRY_MIN_S = 0.3  # before a request that waited in vain may come back
SPREAD_MAX_S = 3.0  # by which a return may be put off for earlier ones


class ReturnTimes:
    """The newest return time that was given for each priority."""

    def __init__(self):
        self._newest_s = {}

    def retry_after_s(self, priority, now_s, wait_s, spacing_s):
        """Give a return time: after more urgent ones, one at a time.

        :param wait_s: expected wait until there is room.
        :param spacing_s: time in which the engine serves one more request.
        :returns: seconds from now.
        """
        earliest_s = now_s + max(RETRY_MIN_S, wait_s)
        taken_s = [
            each_s + spacing_s
            for rank, each_s in self._newest_s.items()
            if rank <= priority and each_s <= earliest_s + SPREAD_MAX_S
        ]
        due_s = max([earliest_s, *taken_s])
        self._newest_s[priority] = due_s
        return due_s - now_s
