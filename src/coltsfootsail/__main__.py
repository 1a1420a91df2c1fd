"""Entry point of the program."""

import sys

DAEMON_WORDS = ["node", "--settings"]


def main():
    """Run the command line and exit.

    ``node --settings FILE`` starts without the command-line library,
    which would cost the daemon 7 MB for as long as it runs.
    """
    if sys.argv[1:3] == DAEMON_WORDS and len(sys.argv) == 4:
        from coltsfootsail import _daemon

        sys.exit(_daemon.run(sys.argv[3]))
    from coltsfootsail import _cli

    sys.exit(_cli.run())


if __name__ == "__main__":
    main()
