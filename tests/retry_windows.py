"""The bound on retries that all nodes of a deployment share."""

import bisect
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How many retries a service may get in any window.

    :param ratio: retries for each request of the service.
    :param extra: further retries.
    :param window_s: length of the sliding window.
    """

    ratio: float = 0.2
    extra: float = 58.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The retries in one window, and how many are allowed."""

    start_s: float
    retries: int
    allowed: float


def repeats(arrivals):
    """Get the times of all arrivals but the first of each request.

    :param arrivals: pairs of time and request id.
    """
    seen = set()
    times = []
    for at_s, request_id in sorted(arrivals):
        if request_id in seen:
            times.append(at_s)
        seen.add(request_id)
    return times


def worst_window(requests_s, retries_s, bounds_at):
    """Find the window whose retries exceed the bound most.

    The requests of a window are counted in it, in the one before it or in
    the one half a window earlier, wherever there are most.

    :param requests_s: times at which callers sent requests.
    :param retries_s: times of the retries.
    :param bounds_at: ``(start_s) -> Bounds`` of the window that begins then.
    :returns: a ``Window``, None without retries.
    """
    requests_s, retries_s = sorted(requests_s), sorted(retries_s)
    windows = []
    for start_s in retries_s:
        bounds = bounds_at(start_s)
        requests = max(
            _count(requests_s, start_s - early_s, bounds.window_s)
            for early_s in (0.0, bounds.window_s / 2, bounds.window_s)
        )
        windows.append(
            Window(
                start_s,
                _count(retries_s, start_s, bounds.window_s),
                bounds.ratio * requests + bounds.extra,
            )
        )
    return max(windows, key=lambda w: w.retries - w.allowed, default=None)


def _count(times_s, start_s, length_s):
    first = bisect.bisect_left(times_s, start_s)
    return bisect.bisect_right(times_s, start_s + length_s) - first
