"""The command that runs one node on the users' machines.

Exit codes: 0 after SIGTERM, 78 if the settings are wrong.
"""

import os
import signal
import sys

import gevent
from gevent import event

from wigeonrouter import events as events_api
from wigeonrouter import node as node_api
from wigeonrouter.platform import _feed
from wigeonrouter.platform import _http
from wigeonrouter.platform import _settings
from wigeonrouter.platform import _store

_EX_CONFIG = 78
_STORE_TIMEOUT_S = 0.7
_LOG_LINES_PER_SECOND = 400


def main():
    """Run one node until SIGTERM; SIGHUP re-reads the settings."""
    path = os.environ.get(_settings.VARIABLE, "")
    try:
        settings = _settings.load(path)
    except _settings.SettingsError as error:
        print(f"wigeonrouter: {error}", file=sys.stderr)
        sys.exit(_EX_CONFIG)
    events = events_api.EventLog(lines_per_second=_LOG_LINES_PER_SECOND)
    events.start()
    node = node_api.Node(
        settings=settings,
        feed=_feed.StoreFeed(
            client=_store.StoreClient(
                address=settings.store_address, timeout=_STORE_TIMEOUT_S
            ),
            regions=settings.regions,
        ),
        wire=_http.HttpDialect(),
        events=events,
    )
    stopping = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    gevent.signal_handler(signal.SIGHUP, _reload, node, path, events)
    node.start()
    stopping.wait()
    node.stop()
    events.stop()


def _reload(node, path, events):
    try:
        node.reload(_settings.load(path))
    except _settings.SettingsError as error:
        events.notice("settings-rejected", error=str(error))


if __name__ == "__main__":
    main()
