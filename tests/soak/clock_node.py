"""Runs a node whose time of day steps on each ``SIGUSR1``.

``python -m tests.soak.clock_node node --settings FILE``
"""

import random
import runpy
import signal
import time

STEPS_S = (2.4, -2.4, 3600.0, -3600.0)


def install():
    """Let the time of day of this process step on ``SIGUSR1``.

    Modules that are imported afterwards read the time of day with its steps.
    """
    read = time.time
    offset_s = 0.0

    def step(signum, frame):
        nonlocal offset_s
        offset_s += random.choice(STEPS_S)

    time.time = lambda: read() + offset_s
    signal.signal(signal.SIGUSR1, step)


if __name__ == "__main__":
    install()
    runpy.run_module("coltsfootsail", run_name="__main__")
