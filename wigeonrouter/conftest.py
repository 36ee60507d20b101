"""Fixtures that the tests of all packages share."""

import os

# This process starts others. gRPC's fork handlers would run its polling
# thread in the child, where closed descriptors make it abort before exec.
os.environ["GRPC_ENABLE_FORK_SUPPORT"] = "0"

from gevent import monkey  # noqa: E402

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

import pytest  # noqa: E402

from wigeonrouter import core  # noqa: E402
from wigeonrouter import standins  # noqa: E402
from wigeonrouter import store as store_api  # noqa: E402

LOOPBACK = core.Address(host="127.0.0.1", port=0)


@pytest.fixture
def store_standin():
    """A running store stand-in on a free port."""
    standin = standins.StoreStandin(address=LOOPBACK)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def store(store_standin):
    """A client of the store stand-in."""
    client = store_api.open_store(
        name="tcp",
        address=core.Address(host="127.0.0.1", port=store_standin.port),
        timeout=0.3,
    )
    yield client
    client.close()


@pytest.fixture
def backend_standin():
    """A running backend server stand-in on a free port."""
    standin = standins.BackendStandin(address=LOOPBACK, service_ms=1)
    standin.start()
    yield standin
    standin.stop()
