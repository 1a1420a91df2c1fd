"""Memory that the answers of servers may hold in this process.

A server may send a body without end.  Each answer has a largest size of its
own, and all answers together share a budget, so that many of them at once
can't use up the memory of the host.  The first bytes of an answer are not
counted: small answers pass whatever other servers send.
"""

import contextlib

BUDGET_BYTES = 25_165_824
UNCOUNTED_BYTES = 65_536  # of each answer


class AnswerMemory:
    """A budget of bytes that all answers share.

    :param budget_bytes: the most that they may hold.
    """

    def __init__(self, budget_bytes=BUDGET_BYTES):
        self._budget_bytes = budget_bytes
        self.held_bytes = 0
        self.peak_bytes = 0

    @contextlib.contextmanager
    def hold(self):
        """Yield an ``Account`` whose bytes are given back at the end."""
        account = Account(self)
        try:
            yield account
        finally:
            account.give_back(account.held_bytes)

    def take(self, size_bytes):
        """Take bytes from the budget if there are as many.

        :returns: whether they were taken.
        """
        if self.held_bytes + size_bytes > self._budget_bytes:
            return False
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        return True

    def give_back(self, size_bytes):
        """Return bytes to the budget."""
        self.held_bytes -= size_bytes


class Account:
    """The bytes that the answers to one request hold.

    :param memory: the ``AnswerMemory``.
    """

    def __init__(self, memory):
        self._memory = memory
        self.held_bytes = 0

    def take(self, size_bytes):
        """Take bytes; tell whether the budget had as many."""
        taken = self._memory.take(size_bytes)
        if taken:
            self.held_bytes += size_bytes
        return taken

    def give_back(self, size_bytes):
        """Return bytes to the budget."""
        self.held_bytes -= size_bytes
        self._memory.give_back(size_bytes)
