"""Guards against input that is not rejected with a documented problem."""

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from wigeonrouter.administration import conftest


@pytest.mark.parametrize(
    ("headers", "body", "name"),
    [
        ({"Content-Length": str(10**9)}, b"", "too-large"),
        ({}, b"", "length-required"),
        ({"Content-Length": "3"}, b"[[[", "invalid-document"),
        ({"Content-Length": "100000"}, b"[" * 100_000, "invalid-document"),
        ({"Content-Length": "2"}, b"\xff\xfe", "invalid-document"),
    ],
)
def test_invalid_bodies_are_rejected(client, headers, body, name):
    headers["Authorization"] = "Bearer root"
    response = client.simulate_put(
        "/v1/config", params={"change_id": "x"}, headers=headers, body=body
    )
    assert conftest.problem_name(response) == name


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8)
    | strategies.sampled_from(("/a/x", "/", "remove", "127.0.0.1:1")),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                "settings children changes path node remove access match "
                "hosts limits max_queue groups g servers kinds x".split()
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@given(
    method=strategies.sampled_from(("GET", "PUT", "POST", "DELETE", "PATCH")),
    target=strategies.sampled_from(
        (
            "/v1/config",
            "/v1/config/changes",
            "/v1/config/validate",
            "/v1/config/effective",
            "/v1/config/history",
            "/v1/config/diff",
            "/v1/config/rollback",
            "/v1/drain",
            "/v1/nothing",
        )
    ),
    token=strategies.sampled_from((None, "root", "a-reader", "a-operator"))
    | strategies.text("abc\xe9", max_size=4),
    params=strategies.dictionaries(
        strategies.sampled_from(
            "path base revision change_id comment only from to limit "
            "address draining".split()
        ),
        strategies.text(max_size=6)
        | strategies.sampled_from(("/a", "/a/x", "1", "-1", "settings")),
        max_size=5,
    ),
    body=_JSON,
)
@hypothesis_settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_any_input_gets_a_response_or_a_documented_problem(
    client, method, target, token, params, body
):
    response = client.simulate_request(
        method,
        target,
        params=params,
        json=body,
        headers={"Authorization": f"Bearer {token}"} if token else {},
    )
    if response.status_code != 200:
        assert conftest.problem_name(response) != "internal"
