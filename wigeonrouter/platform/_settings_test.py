"""Tests of loading and reloading the settings file."""

import pytest

from wigeonrouter.platform import _settings

_LINES = """\
node=front-1
ip=10.1.0.34
zone=za
region=r1
zones.za=r1
zones.zb=r2
listen.front=10.1.0.34:8548
listen.ready=10.1.0.34:8542
listen.control=10.1.0.34:8544
listen.directory=10.1.0.34:8546
internal_ports=7540,7555
seeds=10.1.0.34:8544,10.2.0.34:8544
limits.cpu_share=0.717
limits.cores=3
limits.memory_mb=200
heartbeat=1500ms
bounds=drain=2500ms,grace=6s,retry_budget_ratio=0.2,budget_window=10s,x=y
platform.address=10.200.1.7:8541
field.of.later=1
"""


@pytest.fixture
def write_settings(tmp_path):
    """Return a function that writes the settings file; returns its path."""
    path = tmp_path / "settings.conf"

    def write(text=_LINES, **changes):
        lines = [
            f"{name}={changes[name]}" if name in changes else line
            for line in text.splitlines()
            for name in [line.partition("=")[0]]
        ]
        path.write_text("\n".join(lines), "utf-8")
        return path

    return write


def test_fields_are_read_and_unknown_ones_ignored(write_settings):
    """Guards against a node that fails to start on unknown fields."""
    settings = _settings.load(write_settings())
    assert settings.capacity == 2151
    assert settings.memory_bytes == 200_000_000
    assert settings.seeds == ("10.1.0.34", "10.2.0.34")
    assert settings.regions == {"za": "r1", "zb": "r2"}
    assert str(settings.control_address) == "10.1.0.34:8544"
    assert settings.bounds.retry_ratio == 0.2
    assert settings.bounds.stop_grace == 6.0


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("heartbeat", "soon"),
        ("limits.memory_mb", "plenty"),
        ("limits.memory_mb", "nan"),
        ("limits.memory_mb", "-1"),
        ("internal_ports", "7540"),
        ("platform.address", "nowhere"),
        ("bounds", "grace=6"),
        ("bounds", "retry_budget_ratio=much"),
        ("limits.cores", "many"),
        ("ip", ""),
    ],
)
def test_invalid_field_is_rejected(write_settings, name, value):
    """Guards against a node that starts with misread settings."""
    lines = _LINES.replace(
        next(row for row in _LINES.splitlines() if row.startswith(name)),
        f"{name}={value}",
    )
    with pytest.raises(_settings.SettingsError):
        _settings.load(write_settings(lines))


def test_change_is_reported_once(write_settings):
    """Guards against a reload at every poll of the file."""
    path = write_settings()
    settings_file = _settings.SettingsFile(
        path=path, current=_settings.load(path)
    )
    assert settings_file.read() is None
    write_settings(_LINES.replace("grace=6s", "grace=9s"))
    assert settings_file.read().bounds.stop_grace == 9.0
    assert settings_file.read() is None


def test_invalid_change_is_reported_once_and_ignored(write_settings):
    """Guards against a log line per second for one invalid file."""
    path = write_settings()
    settings_file = _settings.SettingsFile(
        path=path, current=_settings.load(path)
    )
    write_settings(_LINES.replace("heartbeat=1500ms", "heartbeat=x"))
    with pytest.raises(_settings.SettingsError):
        settings_file.read()
    assert settings_file.read() is None
    write_settings()
    assert settings_file.read() is None


@pytest.mark.parametrize(
    ("contracts", "variable", "expected"),
    [
        ("", None, False),
        ("places,keys", "auto", True),
        ("keys,places", "auto", True),
        ("places", None, False),
        ("places", "off", False),
        ("", "on", True),
    ],
)
def test_spill_over_is_on_where_the_deployment_asks_for_it(
    write_settings, monkeypatch, contracts, variable, expected
):
    """Guards against requests that leave their zone unasked."""
    monkeypatch.delenv(_settings.SPILL_OVER_VARIABLE, raising=False)
    if variable is not None:
        monkeypatch.setenv(_settings.SPILL_OVER_VARIABLE, variable)
    path = write_settings(f"{_LINES}contracts={contracts}\n")
    assert _settings.load(path).spill_over is expected


def test_invalid_spill_over_is_rejected(write_settings, monkeypatch):
    """Guards against a misspelt value that counts as another one."""
    monkeypatch.setenv(_settings.SPILL_OVER_VARIABLE, "yes")
    with pytest.raises(_settings.SettingsError):
        _settings.load(write_settings())
