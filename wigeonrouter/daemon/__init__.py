"""The daemon: start, wiring, signals and graceful shutdown."""

from wigeonrouter.daemon import _daemon

Daemon = _daemon.Daemon
