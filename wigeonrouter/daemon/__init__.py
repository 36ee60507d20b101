"""The daemon process: startup, signals, reload and graceful shutdown."""

from wigeonrouter.daemon import _daemon
from wigeonrouter.daemon import _failures

CannotListen = _failures.CannotListen
Daemon = _daemon.Daemon
EX_CONFIG = _failures.EX_CONFIG
EX_UNAVAILABLE = _failures.EX_UNAVAILABLE
StartFailed = _failures.StartFailed
