"""Messages whose last fields not all builds of protocol 1 know.

These builds end a link at a message with another number of fields than they
know.  What a peer sends shows what it knows; until then it is taken to be of a
late build, and of the earliest one that is left once it has ended a link at
such a message.
"""

from coltsfootsail import _wire

# Fields of each message, from the earliest builds on.
_FIELD_COUNTS = (
    {_wire.GrantEnd: 2, _wire.GrantRequest: 10, _wire.GrantReply: 5},
    {_wire.GrantEnd: 3, _wire.GrantRequest: 10, _wire.GrantReply: 5},
    {_wire.GrantEnd: 3, _wire.GrantRequest: 11, _wire.GrantReply: 5},
    {_wire.GrantEnd: 3, _wire.GrantRequest: 11, _wire.GrantReply: 7},
)
_LATEST = len(_FIELD_COUNTS) - 1
_ALL = frozenset(range(len(_FIELD_COUNTS)))
REJECTION_S = 1.0  # after a message in which a peer that can't read it ends


class EarlyForms:
    """The forms of messages that a peer of protocol 1 may know.

    :param now: closure that reads the clock.
    """

    def __init__(self, now):
        self._now = now
        self._builds = _ALL
        self._unproven = {}

    def _keep(self, builds):
        """Keep some of the possible builds; start again if none is left."""
        self._builds = frozenset(builds) or _ALL

    def _counts(self, message_type):
        return {_FIELD_COUNTS[each][message_type] for each in self._builds}

    def use(self, message_type):
        """Choose the form of a message that is sent now.

        :returns: the number of its fields, None for all.
        """
        if message_type not in _FIELD_COUNTS[0]:
            return None
        build = _LATEST if _LATEST in self._builds else min(self._builds)
        count = _FIELD_COUNTS[build][message_type]
        if len(self._counts(message_type)) > 1:
            self._unproven.setdefault(message_type, (count, self._now()))
        return count

    def _note_known(self, message_type, count):
        self._keep(
            build
            for build in self._builds
            if _FIELD_COUNTS[build][message_type] == count
        )

    def note_received(self, message_type, count):
        """Note the number of fields of a message that the peer sent."""
        if message_type not in _FIELD_COUNTS[0]:
            return
        if count not in self._counts(message_type):
            # Another build has taken the peer's place.
            self._builds = _ALL
        self._note_known(message_type, count)
        request = self._unproven.pop(_wire.GrantRequest, None)
        if message_type is _wire.GrantReply and request is not None:
            self._note_known(_wire.GrantRequest, request[0])

    def note_link_end(self):
        """Note that the link has ended, perhaps at one of the messages."""
        unproven, self._unproven = self._unproven, {}
        for message_type, (count, sent_s) in unproven.items():
            if self._now() - sent_s > REJECTION_S:
                self._note_known(message_type, count)
            else:
                self._keep(
                    build
                    for build in self._builds
                    if _FIELD_COUNTS[build][message_type] != count
                )
                return
