"""Entry point of the program."""

import sys

from coltsfootsail import _cli


def main():
    """Run the command line and exit."""
    sys.exit(_cli.run())


if __name__ == "__main__":
    main()
