"""Runs the fault proxy: `python -m standins.fault_proxy --spec FILE`."""

import json
import pathlib

import cattrs
import click

from standins.fault_proxy import proxy
from standins.fault_proxy import specification


@click.command()
@click.option(
    "--spec",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="JSON file with `control`, `places` and `links`.",
)
def main(spec: pathlib.Path) -> None:
    """Forwards connections until it is killed."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    parsed = converter.structure(
        json.loads(spec.read_text()), specification.Specification
    )
    proxy.serve(parsed)


if __name__ == "__main__":
    main()
