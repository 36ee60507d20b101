"""Starts and stops the processes of a benchmark, demonstration or test."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from wigeonrouter import core

TOKEN = "bench-token"
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0


class StartFailed(Exception):
    """A daemon did not become ready within its start timeout."""


class Fleet:
    """Starts processes, and stops only those that it started.

    Leaving the context kills them and deletes their settings and output.
    """

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        self._processes = {}
        self._settings_by_daemon = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def start_store(self, address, *, vms=()):
        """Start a store stand-in.

        Args:
          address: loopback address that it listens on, as text.
          vms: VM list that it serves, as JSON objects.
        """
        self._start(
            "store",
            ["-m", "wigeonrouter.standins.main", "store"]
            + ["--address", address, "--vms", json.dumps(list(vms))],
        )

    def start_backends(self, name, addresses, *, service_ms):
        """Start one process with a backend server at each address.

        Args:
          name: name of the process.
          addresses: addresses as text.
          service_ms: service time of each request.
        """
        arguments = ["-m", "wigeonrouter.standins.main", "backend"]
        arguments += ["--service-ms", str(service_ms)]
        for address in addresses:
            arguments += ["--address", address]
        self._start(name, arguments)

    def start_daemon(
        self, *, daemon_id, place, ports, store, seeds=(), **extra_settings
    ):
        """Start a daemon and wait until it is ready.

        Args:
          daemon_id: its name.
          place: core.Place.
          ports: caller, admin and peer port.
          store: address of the store.
          seeds: peer addresses.
          extra_settings: further daemon settings.
        Raises:
          StartFailed: it was not ready in time.
        """
        caller, admin, peer = (f"127.0.0.1:{port}" for port in ports)
        document = {
            "daemon_id": daemon_id,
            "region": place.region,
            "failure_domain": place.failure_domain,
            "caller_address": caller,
            "admin_address": admin,
            "peer_address": peer,
            "seeds": list(seeds),
            "store": {"address": store},
            "bootstrap_token_sha256": hashlib.sha256(
                TOKEN.encode()
            ).hexdigest(),
            **extra_settings,
        }
        self.write_settings(daemon_id, document)
        self.restart_daemon(daemon_id)

    def restart_daemon(self, daemon_id):
        """Start a daemon with its settings file and wait until it is ready.

        Raises:
          StartFailed: it was not ready in time.
        """
        path = self.settings_path(daemon_id)
        self._start(
            daemon_id,
            ["-m", "wigeonrouter.daemon.main", "--settings", path],
        )
        admin = self._settings_by_daemon[daemon_id]["admin_address"]
        try:
            wait_ready(core.parse_address(admin))
        except StartFailed as error:
            raise StartFailed(
                f"{error}; the end of its output is "
                f"{self.output(daemon_id)[-1000:]!r}"
            ) from error

    def settings_path(self, daemon_id):
        """Return the path of a daemon's settings file."""
        return os.path.join(self._directory.name, f"{daemon_id}.json")

    def change_settings(self, daemon_id, **changes):
        """Replace some settings in the settings file of a daemon."""
        self.write_settings(
            daemon_id, {**self._settings_by_daemon[daemon_id], **changes}
        )

    def write_settings(self, daemon_id, document):
        """Write the settings file of a daemon."""
        self._settings_by_daemon[daemon_id] = document
        with open(
            self.settings_path(daemon_id), "w", encoding="utf-8"
        ) as file:
            json.dump(document, file)

    def output(self, name):
        """Return the standard output and error of a process so far."""
        path = os.path.join(self._directory.name, f"{name}.log")
        with open(path, encoding="utf-8") as file:
            return file.read()

    def pid(self, name):
        """Return the id of a process."""
        return self._processes[name].pid

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def wait(self, name):
        """Wait for a process to end and return its exit code.

        Raises:
          subprocess.TimeoutExpired: it still runs after the stop timeout.
        """
        return self._processes.pop(name).wait(timeout=_STOP_TIMEOUT_S)

    def end(self, name):
        """Send SIGKILL to a process and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def close(self):
        """Kill all processes, also stopped ones, and delete their files."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._directory.cleanup()

    def _start(self, name, arguments):
        path = os.path.join(self._directory.name, f"{name}.log")
        with open(path, "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
            )


def wait_ready(address):
    """Wait until the daemon with this administration address is ready.

    Raises:
      StartFailed: it was not ready in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(f"http://{address}/readyz", timeout=1):
                return
        except OSError:
            time.sleep(0.05)
    raise StartFailed(f"daemon at {address} did not become ready in time")


def run_cli(*arguments, server):
    """Run the command-line tool and return its standard output.

    Args:
      arguments: command and its arguments.
      server: administration address of a daemon, as text.
    Raises:
      subprocess.CalledProcessError: the tool failed.
    """
    return subprocess.run(
        [sys.executable, "-m", "wigeonrouter.cli.main", *arguments],
        env={
            **os.environ,
            "WIGEONROUTER_SERVER": server,
            "WIGEONROUTER_TOKEN": TOKEN,
        },
        check=True,
        capture_output=True,
        text=True,
    ).stdout
