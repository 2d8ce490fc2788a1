"""Starts an entry or a controller on the platform."""

import signal
import sys


def main() -> int:
    """Runs one process; returns its exit status.

    The settings are read after the imports, so a request to reload them
    before that is ignored.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from figford.platform import program

    return program.main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
