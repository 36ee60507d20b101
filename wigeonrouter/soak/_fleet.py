"""Runs node processes on loopback addresses behind fault proxies."""

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
from wigeonrouter.soak import _fault_proxy
from wigeonrouter.soak import _processes
from wigeonrouter.soak import _records
from wigeonrouter.soak import checks

_RESTART_DELAY_S = 0.2
_POLL_INTERVAL_S = 0.02
_KILL_TIMEOUT_S = 3.0
_HEARTBEAT_INTERVAL_S = 1.5
_NODE_MEMORY_BYTES = 256_000_000
_BOUNDS = {
    "drain": f"{checks.DRAIN_BOUND_S * 1000:.0f}ms",
    "grace": f"{checks.STOP_GRACE_PERIOD_S * 1000:.0f}ms",
    "config_apply": f"{checks.CONFIG_APPLY_BOUND_S * 1000:.0f}ms",
    "retry_budget_ratio": f"{checks.RETRY_RATIO}",
    "budget_window": f"{checks.RETRY_WINDOW_S:.0f}s",
    "ttl_max": "5s",
    "quota_window": f"{checks.QUOTA_WINDOW_S:.0f}s",
    "quota_overage": f"{checks.QUOTA_OVERAGE}",
    "quota_slack": f"{checks.QUOTA_SLACK_COUNT}",
    "warmup_overage": f"{checks.SLOW_START_OVERAGE}",
    "warmup_slack": f"{checks.SLOW_START_SLACK_COUNT}",
    "evacuate": f"{checks.EVACUATION_BOUND_S * 1000:.0f}ms",
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ports:
    """Ports of the nodes. Nodes use the same ports on different addresses.

    Attributes:
      first_peer: start of the range of ports for connections of peers.
    """

    caller: int
    readiness: int
    directory: int
    control: int
    first_peer: int


class NodeProcess:
    """Supervises one node: its process, settings file and fault proxies.

    Args:
      settings: topology.NodeSettings with the addresses it listens on.
      store_proxy: FaultProxy between the node and the store.
      caller_proxy: FaultProxy between callers and the node.
      directory: pathlib.Path for the settings file and the log.
      observations: Observations.
    """

    def __init__(
        self, *, settings, store_proxy, caller_proxy, directory, observations
    ):
        self.settings = settings
        self.store_proxy = store_proxy
        self.caller_proxy = caller_proxy
        self.peer_proxies = {}
        self.incarnation = 0
        self._observations = observations
        self._directory = directory
        self._process = None
        self._terminated_at = None
        self._was_killed = False
        self._early_hang_up = None
        self._early_stop = None
        self._shutting_down = False
        self._task = None

    @property
    def name(self):
        """Node name, as in its settings."""
        return self.settings.name

    def start(self):
        """Start the process and restart it whenever it has exited."""
        self._task = gevent.spawn(self._supervise)

    def write_settings(self):
        """Write the settings file and return its path."""
        path = self._directory / f"{self.name}.conf"
        path.write_text(
            testing.render_settings(self.settings, bounds=_BOUNDS), "utf-8"
        )
        return path

    def kill(self):
        """Kill the process with SIGKILL; the supervisor restarts it."""
        self._was_killed = True
        self._signal(signal.SIGKILL)

    def terminate(self):
        """Send SIGTERM, which requests a graceful stop."""
        if self._terminated_at is None:
            self._terminated_at = time.monotonic()
        if self._process is not None and self._early_stop is None:
            self._early_stop = _processes.cpu_before_handling(
                self._process.pid, signal.SIGTERM
            )
        self._signal(signal.SIGTERM)

    def reload_settings(self):
        """Send SIGHUP, which makes the process reload its settings."""
        if self._process is not None and self._early_hang_up is None:
            self._early_hang_up = _processes.cpu_before_handling(
                self._process.pid, signal.SIGHUP
            )
        self._signal(signal.SIGHUP)

    def pause(self):
        """Suspend the process with SIGSTOP until resume()."""
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Continue the process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def shut_down(self):
        """Kill the process for good, without a restart."""
        self._shutting_down = True
        self.resume()
        self.kill()
        self._task.join(timeout=_KILL_TIMEOUT_S)

    def _signal(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def _supervise(self):
        while not self._shutting_down:
            self._run_once()
            gevent.sleep(_RESTART_DELAY_S)

    def _run_once(self):
        path = self.write_settings()
        self._terminated_at, self._was_killed = None, False
        self._early_hang_up = self._early_stop = None
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
            gevent.sleep(_POLL_INTERVAL_S)
        self._observations.exits.append(
            _records.Exit(
                node=self.name,
                started=started,
                ended=time.monotonic(),
                code=self._process.returncode,
                stopped=self._terminated_at,
                killed=self._was_killed or self._shutting_down,
                early_hang_up=self._early_hang_up,
                early_stop=self._early_stop,
            )
        )


class Fleet:
    """Owns the node processes and the fault proxies between them.

    Args:
      domains: dict from failure domain to region.
      size: number of nodes.
      prefix: first two octets of the loopback addresses, such as "127.9".
      ports: Ports.
      store_address: core.Address of the store.
      directory: pathlib.Path for settings files and logs.
      observations: Observations.
    """

    def __init__(
        self,
        *,
        domains,
        size,
        prefix,
        ports,
        store_address,
        directory,
        observations,
    ):
        self._ports = ports
        self._store_address = (store_address.host, store_address.port)
        self._prefix = prefix
        self._domains = domains
        self._directory = pathlib.Path(directory)
        self._observations = observations
        self._proxies = []
        domain_names = sorted(domains)
        self.nodes = [
            self._make_node(index, domain_names[index % len(domain_names)])
            for index in range(size)
        ]
        self._connect_peers()

    def start(self):
        """Start all node processes."""
        for node in self.nodes:
            node.start()

    def stop(self):
        """Kill all node processes and stop all fault proxies."""
        gevent.joinall([gevent.spawn(node.shut_down) for node in self.nodes])
        for proxy in self._proxies:
            proxy.stop()

    def clear_faults(self):
        """Clear the faults of all proxies."""
        for proxy in self._proxies:
            proxy.clear_faults()

    def find_by_caller_address(self, address):
        """Return the NodeProcess with this caller address, or None."""
        for node in self.nodes:
            if node.settings.caller_address == address:
                return node
        return None

    def _add_proxy(self, *, listen, target):
        proxy = _fault_proxy.FaultProxy(listen=listen, target=target)
        self._proxies.append(proxy)
        return proxy

    def _make_node(self, index, domain):
        host = f"{self._prefix}.1.{index + 1}"
        ports = self._ports
        store_proxy = self._add_proxy(
            listen=(f"{self._prefix}.2.{index + 1}", 0),
            target=self._store_address,
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
                    port=store_proxy.port,
                ),
                # A node connects to all peers at the first port of its own
                # range. As this port differs between nodes, each ordered
                # pair of nodes has a proxy of its own.
                peer_ports=(ports.first_peer + index, ports.first_peer + 999),
                seeds=(f"{self._prefix}.1.1", f"{self._prefix}.1.2"),
                capacity=1000,
                memory_bytes=_NODE_MEMORY_BYTES,
                regions=self._domains,
                heartbeat=_HEARTBEAT_INTERVAL_S,
                bounds=topology.Bounds(),
            ),
            store_proxy=store_proxy,
            caller_proxy=self._add_proxy(
                listen=(f"{self._prefix}.3.{index + 1}", ports.caller),
                target=(host, ports.caller),
            ),
            directory=self._directory,
            observations=self._observations,
        )

    def _connect_peers(self):
        for node in self.nodes:
            for peer in self.nodes:
                same_region = node.settings.place.region == (
                    peer.settings.place.region
                )
                if peer is node or not same_region:
                    continue
                host = peer.settings.host
                node.peer_proxies[peer.name] = self._add_proxy(
                    listen=(host, node.settings.peer_ports[0]),
                    target=(host, peer.settings.peer_ports[0]),
                )
