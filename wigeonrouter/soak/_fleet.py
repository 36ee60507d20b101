"""Runs node processes on loopback, each behind links that can fail."""

import dataclasses
import os
import pathlib
import signal
import sys
import time

import gevent
from gevent import subprocess

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import testing
from wigeonrouter.soak import _checks
from wigeonrouter.soak import _links
from wigeonrouter.soak import _records

_RESTART_S = 0.2
_POLL_S = 0.02
_KILL_WAIT_S = 3.0
_HEARTBEAT_S = 1.5
_BOUNDS = {
    "drain": f"{_checks.DRAIN_S * 1000:.0f}ms",
    "grace": f"{_checks.STOP_GRACE_S * 1000:.0f}ms",
    "config_apply": f"{_checks.CONFIG_APPLY_S * 1000:.0f}ms",
    "retry_budget_ratio": f"{_checks.RETRY_RATIO}",
    "budget_window": f"{_checks.RETRY_WINDOW_S:.0f}s",
    "ttl_max": "5s",
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ports:
    """Ports that no node listens on twice."""

    caller: int
    readiness: int
    directory: int
    control: int
    first_peer: int


class NodeProcess:
    """Owns one node: its process, its settings file and its links.

    Args:
      settings: topology.NodeSettings with the addresses it listens on.
      store_link: Link to the store.
      caller_link: Link that callers use.
      directory: pathlib.Path for the settings file and the log.
      seen: Observations.
    """

    def __init__(self, *, settings, store_link, caller_link, directory, seen):
        self.settings = settings
        self.store_link = store_link
        self.caller_link = caller_link
        self.peer_links = {}
        self.incarnation = 0
        self._seen = seen
        self._directory = directory
        self._process = None
        self._stopped = None
        self._killed = False
        self._ending = False
        self._task = None

    @property
    def name(self):
        """Name of the node."""
        return self.settings.name

    def start(self):
        """Run the process, and run it again whenever it has ended."""
        self._task = gevent.spawn(self._supervise)

    def write_settings(self):
        """Write the settings file."""
        path = self._directory / f"{self.name}.conf"
        path.write_text(
            testing.render_settings(self.settings, bounds=_BOUNDS), "utf-8"
        )
        return path

    def kill(self):
        """End the process at once."""
        self._killed = True
        self._signal(signal.SIGKILL)

    def terminate(self):
        """Ask the process to stop."""
        if self._stopped is None:
            self._stopped = time.monotonic()
        self._signal(signal.SIGTERM)

    def hang_up(self):
        """Ask the process to read its settings again."""
        self._signal(signal.SIGHUP)

    def pause(self):
        """Stand still until resume()."""
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Go on after pause()."""
        self._signal(signal.SIGCONT)

    def end(self):
        """End the process for good."""
        self._ending = True
        self.resume()
        self.kill()
        self._task.join(timeout=_KILL_WAIT_S)

    def _signal(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def _supervise(self):
        while not self._ending:
            self._run()
            gevent.sleep(_RESTART_S)

    def _run(self):
        path = self.write_settings()
        self._stopped, self._killed = None, False
        self.incarnation += 1
        started = time.monotonic()
        with open(self._directory / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "wigeonrouter.platform.main"],
                env={
                    **os.environ,
                    "WIGEONROUTER_SETTINGS": str(path),
                    "PYTHONPATH": os.pathsep.join(sys.path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        while self._process.poll() is None:
            gevent.sleep(_POLL_S)
        self._seen.exits.append(
            _records.Exit(
                node=self.name,
                started=started,
                ended=time.monotonic(),
                code=self._process.returncode,
                stopped=self._stopped,
                killed=self._killed or self._ending,
            )
        )


class Fleet:
    """Owns the node processes and the links between them.

    Args:
      domains: dict from failure domain to region.
      size: number of nodes.
      prefix: first two numbers of the loopback addresses, "127.9".
      ports: Ports.
      store_address: core.Address of the store.
      directory: pathlib.Path for files.
      seen: Observations.
    """

    def __init__(
        self, *, domains, size, prefix, ports, store_address, directory, seen
    ):
        self._ports = ports
        self._store = (store_address.host, store_address.port)
        self._prefix = prefix
        self._domains = domains
        self._directory = pathlib.Path(directory)
        self._seen = seen
        self._links = []
        names = sorted(domains)
        self.nodes = [
            self._make_node(index, names[index % len(names)])
            for index in range(size)
        ]
        self._connect_peers()

    def start(self):
        """Run all processes."""
        for node in self.nodes:
            node.start()

    def stop(self):
        """End all processes and links."""
        gevent.joinall([gevent.spawn(node.end) for node in self.nodes])
        for link in self._links:
            link.stop()

    def heal(self):
        """End the faults of all links."""
        for link in self._links:
            link.heal()

    def by_caller_address(self, address):
        """Return the node that callers know under an address, or None."""
        for node in self.nodes:
            if node.settings.caller_address == address:
                return node
        return None

    def _link(self, *, listen, target):
        link = _links.Link(listen=listen, target=target)
        self._links.append(link)
        return link

    def _make_node(self, index, domain):
        host = f"{self._prefix}.1.{index + 1}"
        ports = self._ports
        store_link = self._link(
            listen=(f"{self._prefix}.2.{index + 1}", 0), target=self._store
        )
        return NodeProcess(
            settings=topology.NodeSettings(
                name=f"node-{index + 1}",
                place=core.Place(
                    region=self._domains[domain], failure_domain=domain
                ),
                host=host,
                caller_address=core.Address(host=host, port=ports.caller),
                readiness_address=core.Address(
                    host=host, port=ports.readiness
                ),
                directory_address=core.Address(
                    host=host, port=ports.directory
                ),
                control_address=core.Address(host=host, port=ports.control),
                store_address=core.Address(
                    host=f"{self._prefix}.2.{index + 1}",
                    port=store_link.port,
                ),
                # A node uses its own first port for the peers' too: so each
                # pair of nodes has a link of its own.
                peer_ports=(ports.first_peer + index, ports.first_peer + 999),
                seeds=(f"{self._prefix}.1.1", f"{self._prefix}.1.2"),
                capacity=1000,
                regions=self._domains,
                heartbeat=_HEARTBEAT_S,
                bounds=topology.Bounds(),
            ),
            store_link=store_link,
            caller_link=self._link(
                listen=(f"{self._prefix}.3.{index + 1}", ports.caller),
                target=(host, ports.caller),
            ),
            directory=self._directory,
            seen=self._seen,
        )

    def _connect_peers(self):
        for node in self.nodes:
            for other in self.nodes:
                same = node.settings.place.region == (
                    other.settings.place.region
                )
                if other is node or not same:
                    continue
                host = other.settings.host
                node.peer_links[other.name] = self._link(
                    listen=(host, node.settings.peer_ports[0]),
                    target=(host, other.settings.peer_ports[0]),
                )
