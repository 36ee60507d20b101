"""Structured event log that never blocks the process."""

from wigeonrouter.events import _events

EventLog = _events.EventLog
