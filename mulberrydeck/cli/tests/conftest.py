"""Fixtures of the tests of commands."""

import click.testing
import pytest

from mulberrydeck.cli import main as cli
from mulberrydeck.model.tests import samples
from standins import serving
from standins.platform import app


@pytest.fixture
def platform():
    served = app.Platform()
    server = serving.start("127.0.0.1:0", served)
    served.url = f"http://{serving.address_of(server)}"
    yield served
    server.stop()


@pytest.fixture
def run(platform, tmp_path):
    runner = click.testing.CliRunner()

    def run_command(*arguments: str) -> click.testing.Result:
        environment = {
            "MULBERRYDECK_PLATFORM": platform.url,
            "MULBERRYDECK_AUTHOR": "ann",
        }
        return runner.invoke(cli.main, arguments, env=environment)

    return run_command


@pytest.fixture
def fleet(run, tmp_path):
    path = tmp_path / "fleet.toml"
    path.write_text(samples.FLEET_TOML)
    applied = run("apply", str(path))
    assert applied.exit_code == 0, applied.output
    return path
