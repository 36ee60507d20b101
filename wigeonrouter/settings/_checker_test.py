"""Guards against the acceptance of invalid settings documents."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest
from returns import pipeline

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2


def _check(text):
    return settings.parse_document(text=text, message_type=settings_pb2.Node)


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('{"settings": {"limits": {"max_queue": -1}}}', "max_queue"),
        ('{"settings": {"limits": {"max_queue": true}}}', "max_queue"),
        ('{"settings": {"limits": {"max_queue": 100001}}}', "max_queue"),
        ('{"settings": {"routing": {"homes": 0}}}', "homes"),
        ('{"settings": {"routing": {"homes": 17}}}', "homes"),
        ('{"settings": {"retries": {"budget_ratio": 1.5}}}', "budget_ratio"),
        ('{"settings": {"limits": {"max_queue": 1.5}}}', "max_queue"),
        ('{"settings": {"limitz": {}}}', "limitz"),
        ('{"settings": {"kinds": {"read": {}}}}', "read.idempotent"),
        ('{"settings": {"kinds": {"BAD": {"idempotent": true}}}}', "kinds"),
        ('{"settings": {"retries": {"budget_ratio": NaN}}}', "budget_ratio"),
        ('{"settings": {"routing": {"entry_scope": "moon"}}}', "entry_scope"),
        ('{"settings": 1}', "$.settings"),
        ('{"children": {"a": {}, "a": {}}}', "$"),
        ("[" * 100_000, "$"),
        ('{"children": {"a": ' * 80 + "{}" + "}}" * 80, "children.a"),
    ],
)
def test_errors_name_the_path_and_what_is_allowed(text, path):
    errors = _check(text).failure()
    assert any(path in error.path for error in errors)
    assert all(error.allowed for error in errors)


@given(
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.floats()
        | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from(
                    (
                        "settings",
                        "children",
                        "limits",
                        "groups",
                        "max_queue",
                        "x",
                    )
                ),
                inner,
            )
        ),
    )
)
def test_any_document_is_accepted_or_rejected_with_errors(document):
    errors = settings.check_document(
        document=document, message_type=settings_pb2.Node
    )
    assert isinstance(errors, tuple)
    if not isinstance(document, dict):
        assert errors


def _servers(*addresses):
    server = {"region": "r", "failure_domain": "f"}
    return json.dumps(
        {
            "settings": {
                "groups": {
                    "g": {
                        "servers": {
                            f"s{index}": {"address": address, **server}
                            for index, address in enumerate(addresses)
                        }
                    }
                }
            }
        }
    )


@pytest.mark.parametrize(
    "address",
    [
        "300.1.1.1:80",
        "1.1.1.1:0",
        "1.1.1.1:70000",
        "1.1.1.1",
        "\u0661.1.1.1:80",
        "01.1.1.1:80",
    ],
)
def test_addresses_out_of_range_are_errors(address):
    error = _check(_servers(address)).failure()[0]
    assert error.path == "$.settings.groups.g.servers.s0.address"
    assert "65535" in error.allowed


@pytest.mark.parametrize(
    "text",
    [
        '{"settings": {"routing": {"policy": "\\ud800"}}}',
        '{"settings": {"limits": {"tenant_weights": {"\\udfff": 1}}}}',
        b"\xff\xfe{}",
        '{"settings": {"limits": {"max_queue": %s}}}'
        % ("[" * 900 + "]" * 900),
        '{"settings": {"limits": {"max_queue": %s}}}' % ("1" * 5000),
        "{" + ", ".join(f'"k{n}": 1' for n in range(60_000)) + "}",
        "{" + ", ".join(f'"k{n // 2}": 1' for n in range(60_000)) + "}",
        "[" + "{}," * 200_000 + "{}]",
    ],
)
def test_hostile_documents_give_few_and_short_errors(text):
    errors = _check(text).failure()
    assert 1 <= len(errors) <= 100
    assert all(len(str(error)) < 400 for error in errors)


@pytest.mark.parametrize(
    "document",
    [
        {},
        {"settings": {}},
        {"settings": {"limits": {}}, "children": {}},
        {"children": {"a": {"children": {"b": {"settings": {}}}}}},
    ],
)
def test_building_with_pauses_gives_the_same_message(document):
    built = [
        settings.build_message(
            document=document, message_type=settings_pb2.Node, pause=pause
        ).unwrap()
        for pause in (None, lambda: None)
    ]
    assert built[0] == built[1]


def test_a_correct_document_is_accepted():
    assert pipeline.is_successful(
        _check('{"settings": {"limits": {"max_queue": 5}}}')
    )
