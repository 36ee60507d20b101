"""Log lines as JSON objects or as text, with a limit on request lines.

Values from callers (request ids, tenants) reach the log. Both forms escape
every control character, so that a value can neither end a line nor forge a
field, and cut long values.
"""

import json
import re
import sys
import time

import logbook

MAX_VALUE_CHARACTERS = 200
# Refusals may use the whole limit, successes this part of it, so that a
# stream of successes never hides a refusal.
_SUCCESS_SHARE = 0.5
_WINDOW_S = 1.0
_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.,:/~@+-]+")


class LogOutput(logbook.StreamHandler):
    """Writes lines to a stream; form and level can change while it runs."""

    def __init__(self, *, log_format, level, stream=None):
        super().__init__(stream or sys.stderr)
        self.configure(log_format=log_format, level=level)

    def configure(self, *, log_format, level):
        """Change the form ("json" or "text") and the least severe level."""
        self.formatter = _format_json if log_format == "json" else _format_text
        self.level = logbook.lookup_level(level.upper())


def logger(name):
    """Return the logbook.Logger of a part of the daemon.

    Fields are given as ``extra``: ``log.info("stopped", extra={...})``.
    """
    return logbook.Logger(name)


class RequestLog:
    """Writes a line per request, up to a number of lines per second."""

    def __init__(self, *, lines_per_second, clock=time.monotonic):
        self._clock = clock
        self._logger = logger("request")
        self._window_ends = clock() + _WINDOW_S
        self._written = 0
        self._successes_written = 0
        self._suppressed_refusals = 0
        self._suppressed_successes = 0
        self.configure(lines_per_second=lines_per_second)

    def configure(self, *, lines_per_second):
        """Change the limit."""
        self._limit = lines_per_second
        self._success_limit = max(1, int(lines_per_second * _SUCCESS_SHARE))

    def add(self, record):
        """Write the line of a request_path.RequestRecord or count it."""
        if self._clock() >= self._window_ends:
            self.flush()
        success = not record.problem and record.outcome.value == "ok"
        if success:
            if (
                self._written >= self._limit
                or self._successes_written >= self._success_limit
            ):
                self._suppressed_successes += 1
                return
            self._successes_written += 1
        elif self._written >= self._limit:
            self._suppressed_refusals += 1
            return
        self._written += 1
        write = self._logger.info if success else self._logger.warning
        write("request", extra=_fields(record))

    def flush(self):
        """Begin a new second if the old one is over.

        The daemon calls this once a second, so that the number of suppressed
        lines is reported even when no further request arrives.
        """
        now = self._clock()
        if now < self._window_ends:
            return
        self._window_ends = now + _WINDOW_S
        self._written = 0
        self._successes_written = 0
        if self._suppressed_refusals or self._suppressed_successes:
            self._logger.warning(
                "request lines suppressed",
                extra={
                    "refusals": self._suppressed_refusals,
                    "successes": self._suppressed_successes,
                    "lines_per_second": self._limit,
                },
            )
            self._suppressed_refusals = 0
            self._suppressed_successes = 0


def _fields(record):
    return {
        "request_id": record.request_id,
        "service": record.service,
        "kind": record.kind,
        "tenant": record.tenant,
        "server": record.server,
        "outcome": record.outcome.value,
        "problem": record.problem,
        "latency_ms": round(record.latency * 1000, 3),
    }


def _format_json(record, handler):
    return json.dumps(
        {
            **{name: _cut(value) for name, value in record.extra.items()},
            "time": _time(record),
            "level": logbook.get_level_name(record.level).lower(),
            "logger": record.channel,
            "message": _message(record),
        }
    )


def _format_text(record, handler):
    level = logbook.get_level_name(record.level).lower()
    parts = [_time(record), level, f"{record.channel}:", _message(record)]
    parts += [
        f"{name}={_plain(_cut(value))}" for name, value in record.extra.items()
    ]
    return " ".join(parts)


def _message(record):
    text = record.message
    if record.exc_info:
        text = f"{text}: {record.formatted_exception}"
    return text if text.isprintable() else json.dumps(text)


def _time(record):
    return (
        f"{record.time.replace(tzinfo=None).isoformat('T', 'milliseconds')}Z"
    )


def _cut(value):
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
        return value[:MAX_VALUE_CHARACTERS] + "..."
    return value


def _plain(value):
    text = value if isinstance(value, str) else json.dumps(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)
