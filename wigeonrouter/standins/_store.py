"""Stand-in for the platform's key-value service and VM list.

It keeps its state in memory. On request it injects faults: outages, delays,
lost replies and expired leases.
"""

import time

import gevent
from gevent import event
from gevent import server as gevent_server

from wigeonrouter import store
from wigeonrouter.schema import store_pb2

# Kinds of calls that are not affected by outages and delays.
_EXEMPT_CALLS = frozenset(("fault",))


class StoreStandin:
    """Serves the store protocol on one address.

    Args:
      address: core.Address to listen on, port 0 for any free one.
      vms: store_pb2.Vm messages of the VM list.
    """

    def __init__(self, *, address, vms=()):
        self._items = {}
        self._last_version = 0
        # Expiry time on the monotonic clock and TTL in seconds of each lease.
        self._leases = {}
        self._key_leases = {}
        self._changed = event.Event()
        self._faults = store_pb2.FaultCall()
        self._replies_to_lose = 0
        self._vms = store_pb2.VmListing(version=1, vms=vms)
        self._call_counts = {}
        self._server = gevent_server.StreamServer(
            (address.host, address.port), self._serve
        )

    @property
    def call_counts(self):
        """Dict from kind to the number of calls."""
        return dict(self._call_counts)

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    def start(self):
        """Start to listen."""
        self._server.start()

    def stop(self):
        """Stop listening and close all connections."""
        self._server.stop(timeout=0.1)

    def inject(self, fault):
        """Replace the injected faults by those of a store_pb2.FaultCall."""
        self._faults = fault
        self._replies_to_lose = fault.lost_replies
        if fault.lapse_leases:
            for lease in list(self._leases):
                self._leases[lease] = (0.0, self._leases[lease][1])

    def set_vms(self, vms):
        """Replace the VM list and increase its version."""
        self._vms = store_pb2.VmListing(version=self._vms.version + 1, vms=vms)

    def _serve(self, sock, _):
        tasks = []
        try:
            while True:
                request = store.framing.receive_message(
                    sock, store_pb2.StoreRequest
                )
                if request is None:
                    break
                tasks.append(gevent.spawn(self._respond, sock, request))
                tasks = [task for task in tasks if not task.ready()]
        except (OSError, store.framing.FramingError):
            pass
        finally:
            gevent.killall(tasks, block=False)
            sock.close()

    def _respond(self, sock, request):
        kind = request.WhichOneof("call")
        self._call_counts[kind] = self._call_counts.get(kind, 0) + 1
        if kind not in _EXEMPT_CALLS:
            if self._faults.down:
                return
            gevent.sleep(self._faults.delay_ms / 1000)
        reply = store_pb2.StoreReply(id=request.id)
        self._expire_leases()
        getattr(self, f"_on_{kind}")(getattr(request, kind), reply)
        if kind == "compare_and_swap" and self._replies_to_lose:
            self._replies_to_lose -= 1
            return
        try:
            store.framing.send_message(sock, reply)
        except OSError:
            sock.close()

    def _on_fault(self, call, _):
        self.inject(call)

    def _on_get(self, call, reply):
        if call.key in self._items:
            reply.item.CopyFrom(self._items[call.key])

    def _on_compare_and_swap(self, call, reply):
        current = self._items.get(call.key)
        version = current.version if current else 0
        if version != call.expected_version:
            return
        if call.lease and call.lease not in self._leases:
            return
        reply.swapped = True
        self._last_version += 1
        self._key_leases.pop(call.key, None)
        if not call.HasField("value"):
            self._items.pop(call.key, None)
        else:
            self._items[call.key] = store_pb2.Item(
                key=call.key, value=call.value, version=self._last_version
            )
            if call.lease:
                self._key_leases[call.key] = call.lease
        self._notify()

    def _on_list(self, call, reply):
        keys = sorted(
            key for key in self._items if key.startswith(call.prefix)
        )
        for key in keys[: call.limit or None]:
            reply.items.add().CopyFrom(self._items[key])

    def _on_watch(self, call, reply):
        deadline = time.monotonic() + call.timeout_ms / 1000
        while True:
            item = self._items.get(call.key)
            version = item.version if item else 0
            remaining = deadline - time.monotonic()
            if version != call.known_version or remaining <= 0:
                break
            self._changed.wait(remaining)
        if item:
            reply.item.CopyFrom(item)

    def _on_grant_lease(self, call, reply):
        self._last_version += 1
        ttl = call.ttl_ms / 1000
        self._leases[self._last_version] = (time.monotonic() + ttl, ttl)
        reply.lease = self._last_version

    def _on_renew_lease(self, call, reply):
        if call.lease in self._leases:
            _, ttl = self._leases[call.lease]
            self._leases[call.lease] = (time.monotonic() + ttl, ttl)
            reply.swapped = True

    def _on_list_vms(self, call, reply):
        if call.known_version != self._vms.version:
            reply.vms.CopyFrom(self._vms)

    def _expire_leases(self):
        now = time.monotonic()
        expired = {
            lease
            for lease, (expires_at, _) in self._leases.items()
            if expires_at <= now
        }
        if not expired:
            return
        for lease in expired:
            del self._leases[lease]
        for key, lease in list(self._key_leases.items()):
            if lease in expired:
                del self._key_leases[key]
                self._items.pop(key, None)
        self._notify()

    def _notify(self):
        changed, self._changed = self._changed, event.Event()
        changed.set()
