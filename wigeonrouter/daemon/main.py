"""The command wigeonrouterd.

Exit codes: 0 after SIGTERM or SIGINT, 69 if an address cannot be bound, 78 if
the settings are invalid. Each startup error is one line on standard error.
"""

import os

# Suppresses gRPC's log, so that a startup error is only one line. Set
# before grpc is imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from gevent import monkey  # noqa: E402

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
from wigeonrouter import observability  # noqa: E402
from wigeonrouter import settings as settings_api  # noqa: E402

_log = observability.logger("daemon")


@click.command()
@click.option("--settings", "path", required=True, help="JSON settings file")
def main(path):
    """Run one daemon until SIGTERM; SIGHUP re-reads the settings."""
    loaded = settings_api.load_daemon_settings(path)
    if not pipeline.is_successful(loaded):
        for error in loaded.failure():
            click.echo(f"wigeonrouterd: {path}: {error}", err=True)
        sys.exit(daemon_api.EX_CONFIG)
    settings = loaded.unwrap()
    output = observability.LogOutput(
        log_format=settings.log_format, level=settings.log_level
    )
    output.push_application()
    stopping = event.Event()
    try:
        daemon = daemon_api.Daemon(settings=settings, log_output=output)
        gevent.signal_handler(signal.SIGTERM, stopping.set)
        gevent.signal_handler(signal.SIGINT, stopping.set)
        gevent.signal_handler(signal.SIGHUP, _reload, daemon, path)
        daemon.start()
    except daemon_api.StartFailed as error:
        click.echo(f"wigeonrouterd: {path}: {error}", err=True)
        sys.exit(error.exit_code)
    stopping.wait()
    daemon.stop()


def _reload(daemon, path):
    loaded = settings_api.load_daemon_settings(path)
    if pipeline.is_successful(loaded):
        daemon.reload(loaded.unwrap())
        return
    for error in loaded.failure():
        _log.error(
            "settings file rejected, nothing changed",
            extra={"file": path, "error": str(error)},
        )


if __name__ == "__main__":
    main()
