"""Entry point of the command ``coltsfootsail``."""

import signal
import sys

DAEMON_ARGS = ["node", "--settings"]


def main():
    """Run the command line and exit.

    ``node --settings FILE`` starts without importing the command-line
    library, which would take 7 MB of memory in a daemon.  SIGHUP doesn't end
    it before it is able to reload its settings.
    """
    if sys.argv[1:3] == DAEMON_ARGS and len(sys.argv) == 4:
        hangups = []
        signal.signal(signal.SIGHUP, lambda *args: hangups.append(args))
        from coltsfootsail import _daemon

        sys.exit(_daemon.run(sys.argv[3], hangups))
    from coltsfootsail import _cli

    sys.exit(_cli.run())


if __name__ == "__main__":
    main()
