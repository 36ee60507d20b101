"""Keeps a daemon's configuration up to date and accepts changes.

Peers deliver most revisions. One daemon in each region also watches the
store, in case the accepting daemon died before its push.
"""

import time

import gevent
from returns import pipeline
from returns import result

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import store as store_api

WATCH_TIMEOUT_S = 5.0
WATCHER_TASK = "config-watcher"
WATCHER_CHECK_S = 1.0
READY_RETRY_S = 0.2
# Each read of the VM list is counted; members learn of each other by gossip,
# so it is only needed to find lost ones.
VM_LIST_INTERVAL_S = 30.0
VM_LIST_JOIN_INTERVAL_S = 1.0
# A change of the root's settings is checked for half a second at the target
# size, in which a daemon has to serve others.
CHECK_SLICE_S = 0.005
CHECK_PAUSE_S = 0.001
ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"


class Replication:
    """Owns the tasks between store, replica and gossip of one daemon."""

    def __init__(
        self,
        *,
        store,
        replica,
        gossip,
        seeds,
        rng,
        policies=None,
        on_ready=lambda: None,
    ):
        self._store = store
        self._replica = replica
        self._gossip = gossip
        self._seeds = tuple(seeds)
        self._rng = rng
        self._policies = policies
        self._on_ready = on_ready
        self._ready = False
        self._snapshot_task = None
        self._tasks = []
        gossip.subscribe_pause(lambda _: gevent.spawn(self._refresh))

    @property
    def ready(self):
        """Whether the newest configuration that can be found is in force."""
        return self._ready

    def start(self):
        """Start following the store and the VM list."""
        self._tasks = [
            gevent.spawn(self._become_ready),
            gevent.spawn(self._watch),
            gevent.spawn(self._find_seeds),
        ]

    def stop(self):
        """Stop following."""
        gevent.killall(self._tasks)
        if self._snapshot_task is not None:
            self._snapshot_task.kill()

    def accept(self, proposal):
        """Accept a change and spread it.

        Returns:
          Success of a pair (LogEntry, ids of the peers that acknowledged
          it), or the Failure of configuration.accept.
        """
        accepted = configuration.accept(
            store=self._store,
            replica=self._replica,
            proposal=proposal,
            now_ms=int(time.time() * 1000),
            policies=self._policies,
            pause=_pauses(),
        )
        if not pipeline.is_successful(accepted):
            return accepted
        entry = accepted.unwrap()
        if configuration.is_snapshot_due(self._replica):
            self._start_snapshot()
        # A repeated change id may name an entry that is no longer retained.
        acknowledged = self._gossip.push((entry,)) if entry.changes else ()
        return result.Success((entry, list(acknowledged)))

    def _become_ready(self):
        highest = 0
        while not self._ready:
            if self._catch_up():
                ready = self._gossip.rounds > 0
            else:
                named = self._gossip.ask_revisions().values()
                highest = max([highest, *(number for number, _ in named)])
                ready = (
                    self._gossip.joined
                    and any(is_ready for _, is_ready in named)
                    and self._replica.revision >= highest
                )
            if ready:
                self._ready = True
                self._gossip.set_ready()
                self._on_ready()
                return
            gevent.sleep(READY_RETRY_S)

    def _watch(self):
        while True:
            if not self._gossip.table.owns_in_region(WATCHER_TASK):
                gevent.sleep(WATCHER_CHECK_S)
                continue
            try:
                item = self._read_new()
                self._store.watch(
                    configuration.log_key(self._replica.revision + 1),
                    known_version=item.version if item else 0,
                    timeout=WATCH_TIMEOUT_S,
                )
            except store_api.StoreError:
                gevent.sleep(self._rng.uniform(0.5, 1.5))

    def _read_new(self):
        """Read new revisions from the store and spread them."""
        before = self._replica.revision
        item = configuration.catch_up(store=self._store, replica=self._replica)
        entries = self._replica.entries_after(before)
        if entries and self._ready:
            self._gossip.spread(entries)
        return item

    def _catch_up(self):
        try:
            configuration.catch_up(store=self._store, replica=self._replica)
        except store_api.StoreError:
            return False
        return True

    def _refresh(self):
        """Fetch the newest revision after a pause."""
        if not self._catch_up():
            self._gossip.ask_revisions()

    def _start_snapshot(self):
        if self._snapshot_task is None or self._snapshot_task.ready():
            self._snapshot_task = gevent.spawn(self._write_snapshot)

    def _write_snapshot(self):
        try:
            configuration.write_snapshot_if_due(
                store=self._store, replica=self._replica
            )
        except store_api.StoreError:
            # The next accepted change tries again.
            pass

    def _find_seeds(self):
        version = 0
        while True:
            try:
                listing = self._store.list_vms(known_version=version)
            except store_api.StoreError:
                listing = None
            if listing is not None:
                version = listing.version
                port = self._gossip.table.own.peer_address.port
                self._gossip.set_seeds(
                    self._seeds + entry_addresses(listing.vms, port=port)
                )
            gevent.sleep(
                self._rng.uniform(0.8, 1.2)
                * (
                    VM_LIST_INTERVAL_S
                    if self._gossip.joined
                    else VM_LIST_JOIN_INTERVAL_S
                )
            )


def _pauses():
    """Return a function that lets other tasks run in each CHECK_SLICE_S."""
    ends = time.monotonic() + CHECK_SLICE_S

    def pause():
        nonlocal ends
        if time.monotonic() >= ends:
            gevent.sleep(CHECK_PAUSE_S)
            ends = time.monotonic() + CHECK_SLICE_S

    return pause


def entry_addresses(vms, *, port):
    """Return the peer addresses of the entry VMs in a VM list.

    Args:
      vms: an iterable of store.Vm.
      port: peer port of VMs that are listed without one.
    Returns:
      A tuple of core.Address; VMs with unreadable addresses are left out.
    """
    addresses = []
    for vm in vms:
        if vm.role != ENTRY_ROLE or vm.state == LEAVING_STATE:
            continue
        text = vm.address if ":" in vm.address else f"{vm.address}:{port}"
        try:
            addresses.append(core.parse_address(text))
        except ValueError:
            continue
    return tuple(addresses)
