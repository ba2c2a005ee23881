"""Entry point of the program."""

import os
import signal
import sys

if sys.argv[1:2] == ["steer"]:
    # Handles signals that arrive while modules are imported, which is most of
    # the start-up time: there are no settings to reload yet, and no requests to
    # finish.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))

from mulberrydeck.cli import main as cli  # noqa: E402


def main() -> None:
    """Runs the command line."""
    cli.main(prog_name="mulberrydeck")


if __name__ == "__main__":
    main()
