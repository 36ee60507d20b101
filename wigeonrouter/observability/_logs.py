"""Log output as JSON or text, with a rate limit on request lines.

The log contains values from callers, such as request ids and tenants. Both
formats escape all control characters, so that a value can neither end a line
nor inject a field, and truncate long values.
"""

import json
import re
import sys
import time

import logbook

MAX_VALUE_CHARACTERS = 200
# Share of the rate limit that successful requests may use. Rejected and
# failed ones may use all of it, so that successes cannot crowd them out.
_SUCCESS_SHARE = 0.5
_WINDOW_S = 1.0
_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.,:/~@+-]+")


class LogOutput(logbook.StreamHandler):
    """Writes log lines to a stream; format and level can be changed.

    Args:
      log_format: "json" or "text".
      level: name of the least severe level that is written.
      stream: text stream; standard error if None.
    """

    def __init__(self, *, log_format, level, stream=None):
        super().__init__(stream or sys.stderr)
        self.configure(log_format=log_format, level=level)

    def configure(self, *, log_format, level):
        """Change the format and the level.

        Args:
          log_format: "json" or "text".
          level: name of the least severe level that is written.
        """
        self.formatter = _format_json if log_format == "json" else _format_text
        self.level = logbook.lookup_level(level.upper())


def logger(name):
    """Return the logbook.Logger with a name.

    Fields are passed as ``extra``: ``log.info("stopped", extra={...})``.
    """
    return logbook.Logger(name)


class RequestLog:
    """Writes a log line per request, up to a limit per second.

    Args:
      lines_per_second: limit on the lines.
      clock: function that returns seconds.
    """

    def __init__(self, *, lines_per_second, clock=time.monotonic):
        self._clock = clock
        self._logger = logger("request")
        self._window_ends = clock() + _WINDOW_S
        self._written = 0
        self._successes_written = 0
        self._suppressed_failures = 0
        self._suppressed_successes = 0
        self.configure(lines_per_second=lines_per_second)

    def configure(self, *, lines_per_second):
        """Change the limit on the lines per second."""
        self._limit = lines_per_second
        self._success_limit = max(1, int(lines_per_second * _SUCCESS_SHARE))

    def add(self, record):
        """Log a request, or count it as suppressed if over the limit.

        Args:
          record: request_path.RequestRecord.
        """
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
            self._suppressed_failures += 1
            return
        self._written += 1
        write = self._logger.info if success else self._logger.warning
        write("request", extra=_record_fields(record))

    def flush(self):
        """Start a new window if the current one has ended.

        Called once a second, so that the number of suppressed lines is
        logged even if no further request arrives.
        """
        now = self._clock()
        if now < self._window_ends:
            return
        self._window_ends = now + _WINDOW_S
        self._written = 0
        self._successes_written = 0
        if self._suppressed_failures or self._suppressed_successes:
            self._logger.warning(
                "request lines suppressed",
                extra={
                    "refusals": self._suppressed_failures,
                    "successes": self._suppressed_successes,
                    "lines_per_second": self._limit,
                },
            )
            self._suppressed_failures = 0
            self._suppressed_successes = 0


def _record_fields(record):
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
            **{name: _truncate(value) for name, value in record.extra.items()},
            "time": _format_time(record),
            "level": logbook.get_level_name(record.level).lower(),
            "logger": record.channel,
            "message": _format_message(record),
        }
    )


def _format_text(record, handler):
    level = logbook.get_level_name(record.level).lower()
    parts = [
        _format_time(record),
        level,
        f"{record.channel}:",
        _format_message(record),
    ]
    parts += [
        f"{name}={_quote_if_needed(_truncate(value))}"
        for name, value in record.extra.items()
    ]
    return " ".join(parts)


def _format_message(record):
    text = record.message
    if record.exc_info:
        text = f"{text}: {record.formatted_exception}"
    return text if text.isprintable() else json.dumps(text)


def _format_time(record):
    return (
        f"{record.time.replace(tzinfo=None).isoformat('T', 'milliseconds')}Z"
    )


def _truncate(value):
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
        return value[:MAX_VALUE_CHARACTERS] + "..."
    return value


def _quote_if_needed(value):
    text = value if isinstance(value, str) else json.dumps(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
