"""Guards against a planned stop that cuts off requests with long timeouts."""

import pytest

from wigeonrouter import http1
from wigeonrouter.schema import settings_pb2


@pytest.mark.parametrize("name", ["default_timeout_ms", "max_timeout_ms"])
def test_stopping_server_waits_longer_than_any_request_may_take(name):
    """Guards against a response that comes after the process has ended."""
    field = settings_pb2.Limits.DESCRIPTOR.fields_by_name[name]
    bounds = field.GetOptions().Extensions[settings_pb2.bounds]
    assert http1.STOP_TIMEOUT_S > bounds.max / 1000
