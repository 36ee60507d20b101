"""The command that runs one node on the users' platform.

Exit codes: 0 after SIGTERM or SIGINT, 78 if the settings are invalid.
"""

import os
import resource
import signal

if __name__ == "__main__":
    # While the other modules are loaded, which takes a while, SIGHUP must not
    # end the process, and the signals to stop end it as they do later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for _stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(_stop_signal, lambda *_: os._exit(0))

import sys  # noqa: E402

import gevent  # noqa: E402
from gevent import event  # noqa: E402

from wigeonrouter import events as events_api  # noqa: E402
from wigeonrouter import node as node_api  # noqa: E402
from wigeonrouter.platform import _feed  # noqa: E402
from wigeonrouter.platform import _http  # noqa: E402
from wigeonrouter.platform import _settings  # noqa: E402
from wigeonrouter.platform import _store  # noqa: E402

_EX_CONFIG = 78
_STORE_TIMEOUT_S = 0.7
# Largest share of the memory for one response of the store. Several may be
# received at a time, and each exists several times while it is decoded.
_STORE_RESPONSE_MEMORY_SHARE = 1 / 16
_LOG_LINES_PER_SECOND = 400
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The settings file may change without a SIGHUP, so it is polled.
_SETTINGS_CHECK_INTERVAL_S = 1.0


def main():
    """Run one node until SIGTERM, reloading the settings file on changes."""
    path = os.environ.get(_settings.PATH_VARIABLE, "")
    try:
        settings = _settings.load(path)
    except _settings.SettingsError as error:
        print(f"wigeonrouter: {error}", file=sys.stderr)
        sys.exit(_EX_CONFIG)
    _raise_descriptor_limit()
    events = events_api.EventLog(lines_per_second=_LOG_LINES_PER_SECOND)
    events.start()
    node = node_api.Node(
        settings=settings,
        feed=_feed.StoreFeed(
            client=_store.StoreClient(
                address=settings.store_address,
                timeout=_STORE_TIMEOUT_S,
                max_response_bytes=int(
                    settings.memory_bytes * _STORE_RESPONSE_MEMORY_SHARE
                ),
                on_unreadable=lambda detail: events.notice(
                    "store-row-unreadable", detail=detail
                ),
            ),
            regions=settings.regions,
        ),
        codec=_http.HttpCodec(),
        events=events,
    )
    stop_requested = event.Event()
    stop_handlers = [
        gevent.signal_handler(number, stop_requested.set)
        for number in _STOP_SIGNALS
    ]
    settings_file = _settings.SettingsFile(path=path, current=settings)
    gevent.signal_handler(
        signal.SIGHUP, _on_hangup, node, settings_file, events
    )
    node.start()
    watcher = gevent.spawn(_poll_settings, node, settings_file, events)
    stop_requested.wait()
    watcher.kill()
    node.stop()
    events.stop()
    # The interpreter drops handlers before it exits, and another signal would
    # then end the process as if it had failed.
    for number, handler in zip(_STOP_SIGNALS, stop_handlers, strict=True):
        handler.cancel()
        signal.signal(number, signal.SIG_IGN)


def _raise_descriptor_limit():
    """Allow the process as many descriptors as the system lets it have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    except (OSError, ValueError):
        # The node divides what it has.
        pass


def _poll_settings(node, settings_file, events):
    while True:
        gevent.sleep(_SETTINGS_CHECK_INTERVAL_S)
        _reload(node, settings_file, events)


def _on_hangup(node, settings_file, events):
    if not _reload(node, settings_file, events):
        events.notice("settings-unchanged")


def _reload(node, settings_file, events):
    try:
        changed = settings_file.read()
    except _settings.SettingsError as error:
        events.notice("settings-rejected", error=str(error))
        return True
    if changed is not None:
        node.reload(changed)
    return changed is not None


if __name__ == "__main__":
    main()
