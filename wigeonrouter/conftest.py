"""Fixtures that the tests of all packages share."""

import os

# Tests start child processes. With fork support enabled, gRPC would run its
# polling thread in the child, where closed file descriptors make it abort
# before exec.
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
    """Return a running StoreStandin on a free port."""
    standin = standins.StoreStandin(address=LOOPBACK)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def store(store_standin):
    """Return a client of the store stand-in with a timeout of 0.3 s."""
    client = store_api.open_store(
        name="tcp",
        address=core.Address(host="127.0.0.1", port=store_standin.port),
        timeout=0.3,
    )
    yield client
    client.close()


@pytest.fixture
def backend_standin():
    """Return a running BackendStandin on a free port."""
    standin = standins.BackendStandin(address=LOOPBACK, service_ms=1)
    standin.start()
    yield standin
    standin.stop()
