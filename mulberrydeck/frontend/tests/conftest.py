"""Fixtures that start targets and servers, and stop them after the test."""

import pytest

from mulberrydeck.frontend import dependencies
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes


@pytest.fixture
def targets():
    started = []

    def start(*steps, **options):
        started.append(fakes.ScriptedTarget(*steps, **options))
        return started[-1]

    yield start
    for target in started:
        target.stop()


@pytest.fixture
def serve():
    started = []

    def start(gateway, server_type=server.CallerServer, **changes):
        server_dependencies = dependencies.build(
            fakes.settings(**changes), gateway
        )
        started.append(server_type(server_dependencies))
        started[-1].start()
        return started[-1]

    yield start
    for running_server in started:
        running_server.stop(graceful=False)
