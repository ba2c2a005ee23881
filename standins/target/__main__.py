"""Runs one target stand-in: `python -m standins.target`."""

import click
import gevent

from standins import serving
from standins import targets


@click.command()
@click.option("--name", required=True, help="Name of the target.")
@click.option("--listen", default="127.0.0.1:0", help="Address, `ip:port`.")
@click.option("--slots", default=4, help="Requests that run at once.")
def main(name: str, listen: str, slots: int) -> None:
    """Serves one target until it is killed."""
    data = {"name": name, "listen": listen, "slots": slots}
    server = targets.start_target(data)
    serving.announce(serving.address_of(server))
    gevent.wait()


if __name__ == "__main__":
    main()
