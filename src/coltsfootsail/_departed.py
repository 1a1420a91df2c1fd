"""Servers that have left, and the latest start of each server.

A store that comes back from an older copy may show a server as it was before
it left, or before it started again under its name.  The code does no I/O and
has no clock.
"""

FORGET_AFTER_S = 60.0  # no copy is older
# The entry of a server that is not alive expires within this time.
EXPIRY_S = 4.0
FORGET_START_AFTER_S = 900.0  # later than what servers state is forgotten


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


class ServerStarts:
    """The latest known start of each server that states one."""

    def __init__(self):
        self._born_ms = {}
        self._gone_since_s = {}

    def born_ms(self, name):
        """Get the latest known start of a server, 0 if none is known."""
        return self._born_ms.get(name, 0)

    def is_earlier(self, name, born_ms):
        """Tell whether a stated start is earlier than the latest known."""
        return 0 < born_ms < self.born_ms(name)

    def is_later(self, name, born_ms):
        """Tell whether a stated start is a restart."""
        return born_ms > self.born_ms(name) > 0

    def note(self, name, born_ms):
        """Note a stated start.

        :returns: whether the server has started again.
        """
        self._gone_since_s.pop(name, None)
        is_restart = self.is_later(name, born_ms)
        if born_ms > self.born_ms(name):
            self._born_ms[name] = born_ms
        return is_restart

    def note_gone(self, name, now_s):
        """Note that a server is not registered any more."""
        if name in self._born_ms:
            self._gone_since_s[name] = now_s
        oldest_s = now_s - FORGET_START_AFTER_S
        for each in [n for n, s in self._gone_since_s.items() if s < oldest_s]:
            del self._gone_since_s[each]
            del self._born_ms[each]
