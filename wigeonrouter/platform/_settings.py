"""Reads the settings file of a node, with lines of the form NAME=VALUE."""

import os
import pathlib

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _fields

# Environment variable with the path of the settings file.
PATH_VARIABLE = "WIGEONROUTER_SETTINGS"
# Environment variable that turns spill-over on or off; off by default. With
# `auto` it is on if the deployment asks for the contract below.
SPILL_OVER_VARIABLE = "WIGEONROUTER_SPILL_OVER"
_SPILL_OVER_CONTRACT = "places"
# Used if the settings file does not limit the memory.
_DEFAULT_MEMORY_MB = 256
_MAX_MEMORY_MB = 1e9
_BYTES_PER_MB = 1_000_000


class SettingsError(Exception):
    """The settings file cannot be used."""


class SettingsFile:
    """Detects changes of the settings file.

    Args:
      path: path of the file.
      current: topology.NodeSettings in force.
    """

    def __init__(self, *, path, current):
        self._path = path
        self._latest = current
        self._reported_error = ""

    def read(self):
        """Return the new topology.NodeSettings, None if nothing changed.

        Raises:
          SettingsError: the file is invalid; not raised again until the
            reason changes or the file was valid in between.
        """
        try:
            settings = load(self._path)
        except SettingsError as error:
            if str(error) == self._reported_error:
                return None
            self._reported_error = str(error)
            raise
        self._reported_error = ""
        if settings == self._latest:
            return None
        self._latest = settings
        return settings


def load(path):
    """Load the settings file; unknown fields are ignored.

    Returns:
      topology.NodeSettings.
    Raises:
      SettingsError: the file is unreadable, or a field is missing or
        invalid.
    """
    try:
        lines = pathlib.Path(path).read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    values = {}
    for line in lines:
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    try:
        return _build(values)
    except _fields.FieldError as error:
        raise SettingsError(f"{path}: {error}") from error


def _build(values):
    first, _, last = _fields.get_string(values, "internal_ports").partition(
        ","
    )
    if not (first.isdigit() and last.isdigit()):
        raise _fields.FieldError("internal_ports: not of the form FIRST,LAST")
    contracts = frozenset(filter(None, values.get("contracts", "").split(",")))
    return topology.NodeSettings(
        name=_fields.get_string(values, "node"),
        place=core.Place(
            region=_fields.get_string(values, "region"),
            failure_domain=_fields.get_string(values, "zone"),
        ),
        host=_fields.get_string(values, "ip"),
        caller_address=_optional_address(values, "listen.front"),
        readiness_address=_optional_address(values, "listen.ready"),
        directory_address=_optional_address(values, "listen.directory"),
        control_address=_optional_address(values, "listen.control"),
        store_address=_fields.to_address(
            _fields.get_string(values, "platform.address")
        ),
        peer_ports=(int(first), int(last)),
        seeds=tuple(
            _fields.to_address(seed).host
            for seed in values.get("seeds", "").split(",")
            if seed
        ),
        capacity=_read_capacity(values),
        memory_bytes=_read_memory(values),
        regions={
            name.removeprefix("zones."): value
            for name, value in values.items()
            if name.startswith("zones.")
        },
        heartbeat=_fields.get_duration(values, "heartbeat"),
        bounds=_read_bounds(values.get("bounds", "")),
        contracts=contracts,
        first_start=values.get("bootstrap") == "true",
        spill_over=_read_spill_over(contracts),
    )


def _read_spill_over(contracts):
    text = os.environ.get(SPILL_OVER_VARIABLE) or "off"
    if text == "auto":
        return _SPILL_OVER_CONTRACT in contracts
    if text not in ("on", "off"):
        raise _fields.FieldError(
            f"{SPILL_OVER_VARIABLE}: {text} is not on, off or auto"
        )
    return text == "on"


def _optional_address(values, name):
    value = values.get(name)
    return _fields.to_address(value) if value else None


def _read_capacity(values):
    # `cpu_share` is a share of one core, and `cores` scales it by the core's
    # speed. The result is in thousandths of a core.
    try:
        share = float(values.get("limits.cpu_share") or 1.0)
        speed = float(values.get("limits.cores") or 1.0)
    except ValueError as error:
        raise _fields.FieldError(f"limits: {error}") from error
    return max(1, round(share * speed * 1000))


def _read_memory(values):
    try:
        megabytes = float(values.get("limits.memory_mb") or _DEFAULT_MEMORY_MB)
    except ValueError as error:
        raise _fields.FieldError(f"limits: {error}") from error
    if not 0 < megabytes < _MAX_MEMORY_MB:
        raise _fields.FieldError(
            f"limits: {megabytes} is no number of megabytes of memory"
        )
    return round(megabytes * _BYTES_PER_MB)


def _read_bounds(text):
    values = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        values[name.strip()] = value.strip()
    parsed = {}
    for name, wire_name in (
        ("retry_window", "budget_window"),
        ("max_entry_ttl", "ttl_max"),
        ("stop_grace", "grace"),
        ("config_apply", "config_apply"),
        ("drain_apply", "drain"),
        ("revoke_apply", "revoke"),
        ("evacuation_apply", "evacuate"),
        ("quota_window", "quota_window"),
    ):
        if values.get(wire_name):
            parsed[name] = _fields.parse_duration(values[wire_name])
    for name, wire_name in (
        ("retry_ratio", "retry_budget_ratio"),
        ("quota_overage", "quota_overage"),
        ("quota_slack", "quota_slack"),
        ("slow_start_overage", "warmup_overage"),
        ("slow_start_slack", "warmup_slack"),
    ):
        if values.get(wire_name):
            try:
                parsed[name] = float(values[wire_name])
            except ValueError as error:
                raise _fields.FieldError(f"bounds: {error}") from error
    if values.get("revoke_strict"):
        parsed["revoke_strict"] = values["revoke_strict"] == "true"
    return topology.Bounds(**parsed)
