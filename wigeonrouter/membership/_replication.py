"""Replication of the configuration between the store, peers and a replica.

Peers push most revisions. One daemon of each region also watches the store,
in case the accepting daemon failed before its push.
"""

import time

import gevent
from returns import pipeline
from returns import result

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import store as store_api

WATCH_TIMEOUT_S = 5.0
# Task of a region; its owner watches the store.
WATCHER_TASK = "config-watcher"
WATCHER_CHECK_INTERVAL_S = 1.0
READINESS_RETRY_S = 0.2
# Reads of the VM list are metered, and members discover each other by gossip;
# the list is only needed to find members that gossip has lost.
VM_LIST_INTERVAL_S = 30.0
VM_LIST_JOIN_INTERVAL_S = 1.0
# At the target size, validating a change of the root's settings takes half a
# second of processor time. It is cut into slices, so that the daemon serves
# requests in between.
VALIDATION_SLICE_S = 0.005
VALIDATION_YIELD_S = 0.001
ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"


class Replication:
    """Owns the tasks that replicate the configuration of one daemon.

    Args:
      store: store.Store.
      replica: configuration.Replica.
      gossip: Gossip.
      seeds: configured peer addresses, core.Address.
      rng: random.Random.
      policies: names of the known policies, or None to accept any.
      on_ready: function that is called once the configuration is current.
    """

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
        gossip.subscribe_pause(
            lambda _: gevent.spawn(self._catch_up_after_pause)
        )

    @property
    def ready(self):
        """Whether the newest configuration that can be found was applied."""
        return self._ready

    def start(self):
        """Start the tasks that follow the store and the VM list."""
        self._tasks = [
            gevent.spawn(self._become_ready),
            gevent.spawn(self._watch),
            gevent.spawn(self._refresh_seeds),
        ]

    def stop(self):
        """Stop the tasks."""
        gevent.killall(self._tasks)
        if self._snapshot_task is not None:
            self._snapshot_task.kill()

    def accept(self, proposal):
        """Accept a change and push it to peers.

        Returns:
          Success of a pair (LogEntry, list of the ids of the peers that
          acknowledged it), or the Failure of configuration.accept.
        """
        accepted = configuration.accept(
            store=self._store,
            replica=self._replica,
            proposal=proposal,
            now_ms=int(time.time() * 1000),
            policies=self._policies,
            pause=_make_pause(),
        )
        if not pipeline.is_successful(accepted):
            return accepted
        entry = accepted.unwrap()
        if configuration.is_snapshot_due(self._replica):
            self._start_snapshot()
        # An entry found by a repeated change id has no changes where it is no
        # longer retained.
        acknowledged = self._gossip.push((entry,)) if entry.changes else ()
        return result.Success((entry, list(acknowledged)))

    def _become_ready(self):
        """Wait until the newest revision that can be found was applied.

        While the store cannot be read, a ready peer has to be among those
        that respond, and the replica has to reach the highest revision that
        any of them has named.
        """
        highest = 0
        while not self._ready:
            if self._catch_up():
                ready = self._gossip.rounds > 0
            else:
                responses = self._gossip.query_revisions().values()
                highest = max([highest, *(number for number, _ in responses)])
                ready = (
                    self._gossip.joined
                    and any(is_ready for _, is_ready in responses)
                    and self._replica.revision >= highest
                )
            if ready:
                self._ready = True
                self._gossip.set_ready()
                self._on_ready()
                return
            gevent.sleep(READINESS_RETRY_S)

    def _watch(self):
        while True:
            if not self._gossip.table.owns_in_region(WATCHER_TASK):
                gevent.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                item = self._read_and_disseminate()
                self._store.watch(
                    configuration.log_key(self._replica.revision + 1),
                    known_version=item.version if item else 0,
                    timeout=WATCH_TIMEOUT_S,
                )
            except store_api.StoreError:
                gevent.sleep(self._rng.uniform(0.5, 1.5))

    def _read_and_disseminate(self):
        """Read new revisions from the store and push them to peers.

        Returns:
          The Item in the slot of the next revision, or None.
        """
        before = self._replica.revision
        item = configuration.catch_up(store=self._store, replica=self._replica)
        entries = self._replica.entries_after(before)
        if entries and self._ready:
            self._gossip.disseminate(entries)
        return item

    def _catch_up(self):
        try:
            configuration.catch_up(store=self._store, replica=self._replica)
        except store_api.StoreError:
            return False
        return True

    def _catch_up_after_pause(self):
        """Fetch the newest revision after a pause of this process."""
        if not self._catch_up():
            self._gossip.query_revisions()

    def _start_snapshot(self):
        if self._snapshot_task is None or self._snapshot_task.ready():
            self._snapshot_task = gevent.spawn(self._write_snapshot)

    def _write_snapshot(self):
        try:
            configuration.write_snapshot_if_due(
                store=self._store, replica=self._replica
            )
        except store_api.StoreError:
            # Retried after the next accepted change.
            pass

    def _refresh_seeds(self):
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


def _make_pause():
    """Return a function that yields to other tasks after each slice."""
    deadline = time.monotonic() + VALIDATION_SLICE_S

    def pause():
        nonlocal deadline
        if time.monotonic() >= deadline:
            gevent.sleep(VALIDATION_YIELD_S)
            deadline = time.monotonic() + VALIDATION_SLICE_S

    return pause


def entry_addresses(vms, *, port):
    """Return the peer addresses of the entry VMs in a VM list.

    Args:
      vms: an iterable of store.Vm.
      port: peer port of the VMs that are listed without a port.
    Returns:
      A tuple of core.Address; leaving VMs and invalid addresses are skipped.
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
