"""Reads the settings file of a process: lines of the form a.b=value."""

import pathlib

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _fields

VARIABLE = "WIGEONROUTER_SETTINGS"


class SettingsError(Exception):
    """The settings file cannot be used."""


class SettingsFile:
    """Reads the settings file again and tells what is new."""

    def __init__(self, *, path, current):
        """Start from the topology.NodeSettings that are in force."""
        self._path = path
        self._latest = current
        self._rejected = ""

    def read(self):
        """Return the settings of a changed file, None if nothing is new.

        Raises:
          SettingsError: the file cannot be used; raised once for each
            different reason.
        """
        try:
            found = load(self._path)
        except SettingsError as error:
            if str(error) == self._rejected:
                return None
            self._rejected = str(error)
            raise
        self._rejected = ""
        if found == self._latest:
            return None
        self._latest = found
        return found


def load(path):
    """Read the settings file.

    Returns:
      topology.NodeSettings; unknown fields are ignored.
    Raises:
      SettingsError: the file is unreadable or a needed field is wrong.
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
    first, _, last = _fields.text(values, "internal_ports").partition(",")
    if not (first.isdigit() and last.isdigit()):
        raise _fields.FieldError("internal_ports: not two numbers")
    return topology.NodeSettings(
        name=_fields.text(values, "node"),
        place=core.Place(
            region=_fields.text(values, "region"),
            failure_domain=_fields.text(values, "zone"),
        ),
        host=_fields.text(values, "ip"),
        caller_address=_optional_address(values, "listen.front"),
        readiness_address=_optional_address(values, "listen.ready"),
        directory_address=_optional_address(values, "listen.directory"),
        control_address=_optional_address(values, "listen.control"),
        store_address=_fields.address(
            _fields.text(values, "platform.address")
        ),
        peer_ports=(int(first), int(last)),
        seeds=tuple(
            _fields.address(seed).host
            for seed in values.get("seeds", "").split(",")
            if seed
        ),
        capacity=_read_capacity(values),
        regions={
            name.removeprefix("zones."): value
            for name, value in values.items()
            if name.startswith("zones.")
        },
        heartbeat=_fields.seconds(values, "heartbeat"),
        bounds=_read_bounds(values.get("bounds", "")),
    )


def _optional_address(values, name):
    found = values.get(name)
    return _fields.address(found) if found else None


def _read_capacity(values):
    # The share is of one core; `cores` says how many times as fast it is.
    try:
        share = float(values.get("limits.cpu_share") or 1.0)
        speed = float(values.get("limits.cores") or 1.0)
    except ValueError as error:
        raise _fields.FieldError(f"limits: {error}") from error
    return max(1, round(share * speed * 1000))


def _read_bounds(joined):
    values = {}
    for part in joined.split(","):
        name, _, value = part.partition("=")
        values[name.strip()] = value.strip()
    found = {}
    for name, wire_name in (
        ("retry_window", "budget_window"),
        ("max_entry_ttl", "ttl_max"),
        ("stop_grace", "grace"),
        ("config_apply", "config_apply"),
    ):
        if values.get(wire_name):
            found[name] = _fields.parse_time(values[wire_name])
    ratio = values.get("retry_budget_ratio")
    if ratio:
        try:
            found["retry_ratio"] = float(ratio)
        except ValueError as error:
            raise _fields.FieldError(f"bounds: {error}") from error
    return topology.Bounds(**found)
