"""Servers that have left, for a store that comes back from an older copy.

Such a copy may show a server as it was before it left.  The code does no
I/O and has no clock.
"""

FORGET_AFTER_S = 60.0  # no copy is older
# The entry of a server that is not alive expires within this time.
EXPIRY_S = 4.0


class DepartedServers:
    """Names of the servers that left lately, and what a copy shows of them."""

    def __init__(self):
        self._gone_since_s = {}
        self._doubtful_entries = {}
        self._apply_from_s = 0.0

    def note_gone(self, name, now_s):
        """Note that a server has left."""
        oldest_s = now_s - FORGET_AFTER_S
        self._gone_since_s = {
            each: gone_s
            for each, gone_s in self._gone_since_s.items()
            if gone_s > oldest_s
        }
        self._gone_since_s[name] = now_s

    def note_changed(self, name):
        """Note that the store reported a change of a server's entry."""
        self._gone_since_s.pop(name, None)
        self._doubtful_entries.pop(name, None)

    def withhold(self, name, entry, now_s):
        """Withhold an entry of a copy if its server had left.

        :returns: whether it is withheld.
        """
        if name not in self._gone_since_s:
            return False
        self._doubtful_entries[name] = entry
        self._apply_from_s = now_s + EXPIRY_S
        return True

    def take_confirmed(self, now_s):
        """Take the withheld entries that would have expired by now.

        :returns: list of entries, whose servers are alive after all.
        """
        if not self._doubtful_entries or now_s < self._apply_from_s:
            return []
        entries = list(self._doubtful_entries.values())
        self._doubtful_entries.clear()
        return entries
