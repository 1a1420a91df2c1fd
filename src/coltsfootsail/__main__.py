"""Entry point of the command ``coltsfootsail``."""

import sys

DAEMON_ARGS = ["node", "--settings"]


def main():
    """Run the command line and exit.

    ``node --settings FILE`` starts without importing the command-line
    library, which would take 7 MB of memory in a daemon.
    """
    if sys.argv[1:3] == DAEMON_ARGS and len(sys.argv) == 4:
        from coltsfootsail import _daemon

        sys.exit(_daemon.run(sys.argv[3]))
    from coltsfootsail import _cli

    sys.exit(_cli.run())


if __name__ == "__main__":
    main()
