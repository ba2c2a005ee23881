"""Runs the platform stand-in: `python -m standins.platform`."""

import click

from standins import serving
from standins.platform import app


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="Address, `ip:port`.")
def main(listen: str) -> None:
    """Serves the platform's object API until it is killed."""
    server = serving.start(listen, app.Platform())
    serving.announce(serving.address_of(server))
    server.serve_forever()


if __name__ == "__main__":
    main()
