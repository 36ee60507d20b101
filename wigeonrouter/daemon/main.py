"""The command wigeonrouterd."""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

import signal  # noqa: E402
import sys  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
from gevent import event  # noqa: E402
from returns import pipeline  # noqa: E402

from wigeonrouter import daemon as daemon_api  # noqa: E402
from wigeonrouter import settings as settings_api  # noqa: E402

# sysexits.h: configuration error.
EX_CONFIG = 78


@click.command()
@click.option("--settings", "path", required=True, help="JSON settings file")
def main(path):
    """Run one daemon until SIGTERM."""
    loaded = settings_api.load_daemon_settings(path)
    if not pipeline.is_successful(loaded):
        for error in loaded.failure():
            click.echo(f"wigeonrouterd: {path}: {error}", err=True)
        sys.exit(EX_CONFIG)
    daemon = daemon_api.Daemon(settings=loaded.unwrap())
    stopping = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    daemon.start()
    stopping.wait()
    daemon.stop()


if __name__ == "__main__":
    main()
