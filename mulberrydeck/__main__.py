"""Entry point of the program."""

import signal
import sys

if sys.argv[1:2] == ["steer"]:
    # A signal to reload that comes before the program can must not end it;
    # its imports take most of its start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mulberrydeck.cli import main as cli  # noqa: E402


def main() -> None:
    """Runs the command line."""
    cli.main(prog_name="mulberrydeck")


if __name__ == "__main__":
    main()
