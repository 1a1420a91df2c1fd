"""Eras of the store: how often it came back from an older copy.

A store that comes back from an older copy has lost what it acknowledged
since that copy was made, leases too, and gives the same revisions out
again.  Its answers state the era, which rises each time.  Positions in the
store are therefore ordered by era first and revision second.  The code does
no I/O.
"""

from coltsfootsail import exceptions

FIRST_ERA = 0  # of a store whose answers state none
REVISION_BITS = 40  # with 13 bits of eras a JSON number stays exact


def fencing_number(era, revision):
    """Combine an era and a revision in a number that rises with both."""
    return (era << REVISION_BITS) + revision


class EraTracker:
    """The highest era that the store's answers stated.

    :param on_new_era: ``(old era, new era)``, called once for each rise
        after the first answer.
    """

    def __init__(self, on_new_era=lambda old, new: None):
        self._on_new_era = on_new_era
        self._answered = False
        self.era = FIRST_ERA

    def sent_under(self):
        """Get the era of a call that is sent now, None before any answer."""
        return self.era if self._answered else None

    def accept(self, stated):
        """Accept the answer of a call.

        :param stated: the era that the answer states, None if it states
            none.
        :raises KvError: if the answer is from an earlier era than one that
            was stated before.
        """
        era = self.era if stated is None else stated
        if not self._answered:
            self._answered = True
            self.era = era
        if era < self.era:
            raise exceptions.KvError(f"an answer of the past era {era}")
        if era > self.era:
            old, self.era = self.era, era
            self._on_new_era(old, era)

    def check_unchanged(self, sent_under):
        """Check that the era is the one that a call was sent under.

        :param sent_under: the result of ``sent_under`` for that call.
        :raises KvEraChanged: if it is another one.
        """
        if sent_under is not None and sent_under != self.era:
            raise exceptions.KvEraChanged(f"{sent_under} to {self.era}")
