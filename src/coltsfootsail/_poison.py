"""Requests that crash endpoints: strikes against their content.

One strike allows one more attempt, alone among suspects on its endpoint;
the second refuses the content on every node.  A completed run clears it.
"""

import hashlib

STRIKES_MAX = 2
KNOWN_MAX = 10000


def fingerprint(adapter, body):
    """Name a request's content.

    :param adapter: ``name@version``.
    :param body: the request's body as received.
    :returns: hex text.
    """
    digest = hashlib.blake2b(adapter.encode() + b"\0" + body, digest_size=16)
    return digest.hexdigest()


class Strikes:
    """Strikes known to a node.

    :param stored: ``(fingerprint) -> int``, strikes seen in the KV
        service.
    :param most: strikes at which a content is refused.
    """

    def __init__(self, stored, most=STRIKES_MAX):
        self._stored = stored
        self._most = most
        self._local = {}
        self._cleared = {}

    def count(self, content):
        """Count the strikes against a content."""
        if content in self._cleared:
            return 0
        return max(self._local.get(content, 0), self._stored(content))

    def suspect(self, content):
        """Say whether a content must run alone among suspects."""
        return 0 < self.count(content) < self._most

    def refused(self, content):
        """Say whether a content is refused."""
        return self.count(content) >= self._most

    def add(self, content):
        """Add a strike.

        :returns: the new count.
        """
        count = self.count(content) + 1
        self.note(content, count)
        return count

    def learn(self, content, count):
        """Take what another node says; a count of 0 clears the content."""
        if count:
            self.note(content, count)
        else:
            self.clear(content)

    def note(self, content, count):
        """Take over a count from another node."""
        self._cleared.pop(content, None)
        if len(self._local) >= KNOWN_MAX:
            self._local.pop(next(iter(self._local)))
        self._local[content] = max(count, self._local.get(content, 0))

    def clear(self, content):
        """Note that a content has run to its end.

        :returns: whether there was a strike to clear.
        """
        if not self.count(content):
            return False
        self._local.pop(content, None)
        if len(self._cleared) >= KNOWN_MAX:
            self._cleared.pop(next(iter(self._cleared)))
        self._cleared[content] = None
        return True
