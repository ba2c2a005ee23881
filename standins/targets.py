"""Runs many target stand-ins in one process.

The specification is a JSON list of objects with `name`, `listen` (`ip:port`)
and, optionally, fields of `standins.target.behaviour.Behaviour`.
"""

import json
import pathlib

import cattrs
import click
import gevent

from standins import serving
from standins.target import app
from standins.target import behaviour


def start_target(data: dict[str, object]) -> serving.Server:
    """Returns the started server of one target.

    Args:
        data: One object of the specification.
    """
    fields = dict(data)
    name = fields.pop("name")
    listen = fields.pop("listen")
    converter = cattrs.Converter(forbid_extra_keys=True)
    initial = converter.structure(fields, behaviour.Behaviour)
    state = behaviour.TargetState(name, initial)
    return serving.start(listen, app.Target(state))


@click.command()
@click.option(
    "--spec",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="JSON list of targets.",
)
def main(spec: pathlib.Path) -> None:
    """Serves all targets of a specification until it is killed."""
    listed = json.loads(spec.read_text())
    servers = [start_target(data) for data in listed]
    serving.announce(*(serving.address_of(server) for server in servers))
    gevent.wait()


if __name__ == "__main__":
    main()
