"""Detection of poison requests, which crash endpoints.

Each crash adds a strike to the contents that were running.  After one
strike a content is a suspect: it may run again, but beside no other
suspect on its endpoint.  At ``STRIKES_MAX`` strikes every node refuses it.  A
completed run clears the strikes.
"""

import hashlib

STRIKES_MAX = 2
REMEMBERED_MAX = 10000
TOLD_MAX = 100  # contents that a node with a new link is told of


def fingerprint(adapter, body):
    """Hash a request's content to name it.

    :param adapter: ``name@version``.
    :param body: the request's body as received.
    :returns: hex text.
    """
    digest = hashlib.blake2b(adapter.encode() + b"\0", digest_size=16)
    digest.update(body)
    return digest.hexdigest()


class Strikes:
    """The strikes known to a node.

    A content is named by its fingerprint.

    :param stored: ``(fingerprint) -> int``, strikes in the key-value
        store.
    :param limit: number of strikes at which a content is refused.
    """

    def __init__(self, stored, limit=STRIKES_MAX):
        self._stored = stored
        self._limit = limit
        self._counts = {}
        self._cleared = {}

    def count(self, content):
        """Count the strikes against a content."""
        if content in self._cleared:
            return 0
        return max(self._counts.get(content, 0), self._stored(content))

    def suspect(self, content):
        """Tell whether a content may run only without another suspect."""
        return 0 < self.count(content) < self._limit

    def refused(self, content):
        """Tell whether a content is refused."""
        return self.count(content) >= self._limit

    def add(self, content):
        """Add a strike.

        :returns: the new count.
        """
        count = self.count(content) + 1
        self.note(content, count)
        return count

    def learn(self, content, count):
        """Apply a count from another node; 0 clears the content."""
        if count:
            self.note(content, count)
        else:
            self.clear(content)

    def counts(self):
        """List the contents with strikes, the latest ones last.

        :returns: pairs of content and count, ``TOLD_MAX`` at most.
        """
        return list(self._counts.items())[-TOLD_MAX:]

    def note(self, content, count):
        """Raise the strikes against a content to a count."""
        self._cleared.pop(content, None)
        known = self._counts.pop(content, 0)
        if len(self._counts) >= REMEMBERED_MAX:
            self._counts.pop(next(iter(self._counts)))
        self._counts[content] = max(count, known)

    def clear(self, content):
        """Clear the strikes against a content after a completed run.

        :returns: whether there was a strike.
        """
        if not self.count(content):
            return False
        self._counts.pop(content, None)
        if len(self._cleared) >= REMEMBERED_MAX:
            self._cleared.pop(next(iter(self._cleared)))
        self._cleared[content] = None
        return True
