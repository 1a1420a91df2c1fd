"""Times of log lines, also of nodes whose time of day jumped.

A line has the time of day and, in ``steady_s``, a clock that never jumps.
Lines of one file are of one host: their difference is taken from the first
line, so that a later step of the time of day moves no line.
"""

import dataclasses
import datetime

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
CORRECTED_MIN_S = 0.1  # a smaller difference is rounding or slewing


def seconds(when):
    """Parse the time of a log line.

    :param when: text with seconds, or with a date and time.
    :returns: seconds, or None if the text is neither.
    """
    try:
        return float(when)
    except ValueError:
        pass
    try:
        return datetime.datetime.strptime(when, TIME_FORMAT).timestamp()
    except ValueError:
        return None


def _format(at_s):
    text = datetime.datetime.fromtimestamp(at_s).strftime(TIME_FORMAT)
    return text[:-3]


def correct(lines):
    """Replace the times that a step of the time of day has moved.

    :param lines: ``LogLine`` of one file, in order.
    :returns: list of ``LogLine``.
    """
    corrected = []
    offset_s = None
    for line in lines:
        at_s = seconds(line.when)
        if line.steady_s is None or at_s is None:
            corrected.append(line)
            continue
        if offset_s is None:
            offset_s = at_s - line.steady_s
        true_s = line.steady_s + offset_s
        if abs(true_s - at_s) >= CORRECTED_MIN_S:
            line = dataclasses.replace(line, when=_format(true_s))
        corrected.append(line)
    return corrected
