"""Entry point of the program."""

import os
import signal
import sys

if sys.argv[1:2] == ["steer"]:
    # Signals that come while the program loads its parts, which is most of its
    # start: there are no settings to read again yet, and no request to finish.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))

from mulberrydeck.cli import main as cli  # noqa: E402


def main() -> None:
    """Runs the command line."""
    cli.main(prog_name="mulberrydeck")


if __name__ == "__main__":
    main()
