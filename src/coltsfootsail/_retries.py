"""Retry budgets, so that retries do not amplify an outage.

In the simple budget each success earns a share of a retry, up to a limit,
and each retry costs one.  Source: Google, "Site Reliability Engineering",
chapter 21.
"""

import collections
import dataclasses

BUDGET_MAX = 20.0
RESERVATION_MAX_S = 2.0  # for which a retry that is not sent yet is held
WINDOW_SLOTS = 100  # in which requests and retries are counted
ROUNDING = 1e-9  # of retries, by which a sum of additions may be off


class RetryBudget:
    """A node's budget of retries, which starts full.

    :param share: retries earned by one successful request.
    :param limit: most retries that can be saved up.
    """

    def __init__(self, share, limit=BUDGET_MAX):
        self.share = share
        self._limit = limit
        self._tokens = limit

    def earn(self):
        """Note a successful request."""
        self._tokens = min(self._limit, self._tokens + self.share)

    def spend(self):
        """Take a retry.

        :returns: whether the budget allowed it.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBounds:
    """How many retries all nodes together may send to a service.

    :param ratio: retries for each request, in any window.
    :param extra: further retries in any window.
    :param window_s: length of the sliding window.
    """

    ratio: float
    extra: float
    window_s: float


@dataclasses.dataclass(slots=True)
class _Slot:
    """The requests and retries of a short time."""

    begun_s: float
    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Reservation:
    """A retry that is to be sent soon.

    :param until_s: when it may be taken by others.
    :param is_lent: whether another node sends it; it counts as sent in the
        end.
    """

    service: str
    until_s: float
    is_lent: bool = False


class WindowBudget:
    """A node's part of a retry budget per service over all nodes.

    It is a token bucket: each request adds ``ratio`` tokens and each retry
    takes one, so that what the nodes send in a window is paid by its requests
    and by the tokens that were saved before.  A node may save up its share of
    ``extra``; a token that was saved and spent may be replaced after a
    window.  A node that starts has no tokens, and no share until what the
    process before it has spent is out of the window.

    Whoever has no share may still save up one token, without which a ratio
    below 1 would allow nothing.

    :param bounds: ``WindowBounds``.
    :param share: ``() -> float``, this node's share of the extra, from 0 to
        1.
    :param now: closure that reads the clock.
    """

    def __init__(self, bounds, share, now):
        self._bounds = bounds
        self._share = share
        self._now = now
        self._slots = collections.defaultdict(collections.deque)
        self._reservations = collections.defaultdict(set)

    def set_bounds(self, bounds):
        """Change the bounds."""
        self._bounds = bounds

    def _slot(self, service):
        """Get the present slot of a service, and drop those of the past."""
        now_s, window_s = self._now(), self._bounds.window_s
        length_s = window_s / WINDOW_SLOTS
        slots = self._slots[service]
        while slots and slots[0].begun_s < now_s - window_s - length_s:
            slots.popleft()
        if not slots or now_s >= slots[-1].begun_s + length_s:
            slots.append(_Slot(now_s))
        return slots[-1]

    def _extra(self):
        """Get this node's part of the extra."""
        return self._bounds.extra * self._share()

    def request(self, service):
        """Count a caller's request for a service."""
        self._slot(service).requests += 1

    def describe(self, service):
        """Get the inputs of the next decision, for the log."""
        self._slot(service)
        slots = self._slots[service]
        return {
            "retries": sum(slot.retries for slot in slots),
            "requests": sum(slot.requests for slot in slots),
            "reserved": self._reserved(service),
            "extra": round(self._extra(), 2),
        }

    def _reserved(self, service):
        """Count the reservations, and drop those whose time is over."""
        now_s = self._now()
        held = self._reservations[service]
        ended = {each for each in held if now_s >= each.until_s}
        held -= ended
        for _ in range(sum(each.is_lent for each in ended)):
            self._count(service)
        return len(held)

    def _needed(self, service):
        """Get what one more retry needs beside what requests have added.

        Those that are reserved count as if they were sent now.

        :returns: the most over all spans of the window that end now, and
            over the whole window.
        """
        total = most = 1.0 + self._reserved(service)
        for slot in reversed(self._slots[service]):
            total += slot.retries
            most = max(most, total)
            total -= self._bounds.ratio * slot.requests
        return most, total

    def allows(self, service):
        """Tell whether a retry for a service may be taken now."""
        self._slot(service)
        extra = self._extra()
        most, whole = self._needed(service)
        return most <= max(1.0, extra) + ROUNDING and whole <= extra + ROUNDING

    def spend(self, service):
        """Take a retry for a service.

        :returns: the slot that counts it, None if the budget is spent.
        """
        return self._count(service) if self.allows(service) else None

    def _count(self, service):
        slot = self._slot(service)
        slot.retries += 1
        return slot

    def take_back(self, slot):
        """Undo a retry that has reached no server.

        :param slot: the slot that counts it.
        """
        slot.retries -= 1

    def reserve(self, service):
        """Take a retry that is sent later, and counted when it is.

        :returns: a ``Reservation``, None if the budget is spent.
        """
        if not self.allows(service):
            return None
        until_s = self._now() + RESERVATION_MAX_S
        reservation = Reservation(service, until_s)
        self._reservations[service].add(reservation)
        return reservation

    def lend(self, service):
        """Let another node send a retry while it is held here.

        :returns: whether the budget allowed it.
        """
        if not self.allows(service):
            return False
        until_s = self._now() + RESERVATION_MAX_S
        self._reservations[service].add(Reservation(service, until_s, True))
        return True

    def holds(self, reservation):
        """Tell whether the retry of a reservation is not lost yet."""
        return reservation in self._reservations[reservation.service] and (
            self._now() < reservation.until_s
        )

    def release(self, reservation):
        """End a reservation whose retry is not sent."""
        self._reservations[reservation.service].discard(reservation)

    def redeem(self, reservation):
        """Send a retry that was reserved, or another if that is lost.

        :returns: the slot that counts it, None if the budget is spent.
        """
        is_held = self.holds(reservation)
        self.release(reservation)
        take = self._count if is_held else self.spend
        return take(reservation.service)
