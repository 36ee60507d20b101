"""Structured log lines that never block the process."""

from wigeonrouter.events import _events

EventLog = _events.EventLog
