"""Detection of steps of the time of day.

No decision reads the time of day; only log lines are stamped with it.  A step
is logged and counted, so that operators can tell on which node it happened.
"""

STEP_MIN_S = 0.2  # a smaller difference between two checks is slewing
CHECK_INTERVAL_S = 1.0


class StepDetector:
    """Compares the time of day with a clock that never jumps.

    :param wall: closure that reads the time of day in seconds.
    :param steady: closure that reads a clock that also counts the time in
        suspension.
    """

    def __init__(self, wall, steady):
        self._wall = wall
        self._steady = steady
        self._offset_s = wall() - steady()

    def check(self):
        """Get the step since the last check.

        :returns: seconds, 0.0 if there was none.
        """
        offset_s = self._wall() - self._steady()
        step_s = offset_s - self._offset_s
        self._offset_s = offset_s
        return step_s if abs(step_s) >= STEP_MIN_S else 0.0
