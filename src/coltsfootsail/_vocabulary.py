"""Which messages each peer knows.

A node of protocol 1 is sent a message that not all builds of protocol 1 know
only after it has sent one of the same age itself.
"""

from coltsfootsail import _wire

# The messages that some builds of protocol 1 know, by age.
_LATER_MESSAGES = (
    frozenset({_wire.ServerLimit}),
    frozenset({_wire.StreamBegun, _wire.StreamQuery, _wire.StreamReply}),
)
_AGES = {
    message_type: age
    for age, group in enumerate(_LATER_MESSAGES, 1)
    for message_type in group
}
# The messages that came with each later protocol.
_PROTOCOL_MESSAGES = {
    2: (_wire.ServerLeaving, _wire.PeerSilent, _wire.ServerBusy),
    3: (
        _wire.ServerCheck,
        _wire.ServerCheckReply,
        _wire.CrashedRun,
        _wire.PartsCleared,
        _wire.CutOff,
        _wire.RelayRequest,
        _wire.ServerBrittle,
    ),
    4: (
        _wire.WorkspaceGrantRequest,
        _wire.StreamedGrantEnd,
        _wire.FreshnessQuery,
        _wire.FreshnessReply,
        _wire.QuotaReport,
        _wire.QuotaReply,
        _wire.ServerSpeed,
    ),
    5: (_wire.RetryRequest, _wire.RetryReply),
}


def _protocol_age(protocol):
    """Get the age of the messages that came with a protocol."""
    return len(_LATER_MESSAGES) + protocol - _wire.UNANNOUNCED_PROTOCOL


_AGES |= {
    message_type: _protocol_age(protocol)
    for protocol, group in _PROTOCOL_MESSAGES.items()
    for message_type in group
}


class PeerVocabulary:
    """Which messages a peer knows, as far as it has shown.

    :param protocol: the protocol that it has announced.
    """

    def __init__(self, protocol=_wire.UNANNOUNCED_PROTOCOL):
        self._age = 0
        self.announce(protocol)

    def announce(self, protocol):
        """Note the protocol that the peer announces."""
        if protocol > _wire.UNANNOUNCED_PROTOCOL:
            self._age = max(self._age, _protocol_age(protocol))

    def heard(self, msg):
        """Note a message of the peer.

        :returns: whether it shows that the peer knows further messages.
        """
        before = self._age
        if isinstance(msg, _wire.Hello):
            self.announce(msg.protocol)
        self._age = max(self._age, _AGES.get(type(msg), 0))
        return self._age > before

    def knows(self, message_type):
        """Tell whether the peer is known to decode a type of message."""
        return _AGES.get(message_type, 0) <= self._age
