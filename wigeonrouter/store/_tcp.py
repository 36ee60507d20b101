"""Store adapter that speaks length-prefixed protobuf over TCP.

One task owns the socket and reads replies; callers wait for the reply with
their id, so that a waiting watch does not block other calls.
"""

import itertools

import gevent
from gevent import event
from gevent import lock
from gevent import socket

from wigeonrouter.schema import store_pb2
from wigeonrouter.store import _framing
from wigeonrouter.store import _interface

# A watch's reply may come this long after the watch's own timeout, seconds.
_WATCH_SLACK = 1.0


@_interface.adapter("tcp")
class TcpStore:
    """Implements _interface.Store."""

    def __init__(self, *, address, timeout):
        self._address = address
        self._timeout = timeout
        self._ids = itertools.count(1)
        self._waiting = {}
        self._sock = None
        self._reader = None
        self._lock = lock.Semaphore()

    def get(self, key):
        reply = self._call(
            store_pb2.StoreRequest(get=store_pb2.GetCall(key=key))
        )
        return _item(reply.item) if reply.HasField("item") else None

    def compare_and_swap(self, *, key, expected_version, value, lease=0):
        call = store_pb2.CompareAndSwapCall(
            key=key, expected_version=expected_version, lease=lease
        )
        if value is not None:
            call.value = value
        return self._call(
            store_pb2.StoreRequest(compare_and_swap=call)
        ).swapped

    def list(self, prefix, *, limit=0):
        call = store_pb2.ListCall(prefix=prefix, limit=limit)
        reply = self._call(store_pb2.StoreRequest(list=call))
        return tuple(_item(item) for item in reply.items)

    def watch(self, key, *, known_version, timeout):
        call = store_pb2.WatchCall(
            key=key,
            known_version=known_version,
            timeout_ms=int(timeout * 1000),
        )
        reply = self._call(
            store_pb2.StoreRequest(watch=call),
            timeout=timeout + _WATCH_SLACK,
        )
        return _item(reply.item) if reply.HasField("item") else None

    def grant_lease(self, *, ttl):
        call = store_pb2.GrantLeaseCall(ttl_ms=int(ttl * 1000))
        return self._call(store_pb2.StoreRequest(grant_lease=call)).lease

    def renew_lease(self, lease):
        call = store_pb2.RenewLeaseCall(lease=lease)
        return self._call(store_pb2.StoreRequest(renew_lease=call)).swapped

    def list_vms(self, *, known_version=0):
        call = store_pb2.ListVmsCall(known_version=known_version)
        reply = self._call(store_pb2.StoreRequest(list_vms=call))
        if not reply.HasField("vms"):
            return None
        return _interface.VmListing(
            version=reply.vms.version,
            vms=tuple(
                _interface.Vm(
                    name=vm.name,
                    role=vm.role,
                    address=vm.address,
                    region=vm.region,
                    failure_domain=vm.failure_domain,
                    state=vm.state,
                )
                for vm in reply.vms.vms
            ),
        )

    def inject(self, fault):
        """Send a FaultCall; only stand-ins understand it."""
        self._call(store_pb2.StoreRequest(fault=fault))

    def close(self):
        self._disconnect()

    def _call(self, request, timeout=None):
        request.id = next(self._ids)
        waiter = event.AsyncResult()
        with self._lock:
            sock = self._connect()
            self._waiting[request.id] = waiter
            try:
                _framing.send_message(sock, request)
            except OSError as error:
                self._disconnect()
                raise _interface.StoreReplyLost(str(error)) from error
        try:
            reply = waiter.get(timeout=timeout or self._timeout)
        except gevent.Timeout as error:
            raise _interface.StoreReplyLost("no reply in time") from error
        finally:
            self._waiting.pop(request.id, None)
        if reply.error:
            raise _interface.StoreUnavailable(reply.error)
        return reply

    def _connect(self):
        if self._sock is not None:
            return self._sock
        try:
            sock = socket.create_connection(
                (self._address.host, self._address.port),
                timeout=self._timeout,
            )
        except OSError as error:
            raise _interface.StoreUnavailable(str(error)) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        self._sock = sock
        self._reader = gevent.spawn(self._read, sock)
        return sock

    def _read(self, sock):
        try:
            while True:
                reply = _framing.receive_message(sock, store_pb2.StoreReply)
                if reply is None:
                    break
                waiter = self._waiting.pop(reply.id, None)
                if waiter is not None:
                    waiter.set(reply)
        except (OSError, _framing.FramingError):
            pass
        if self._sock is sock:
            self._disconnect()

    def _disconnect(self):
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        waiting, self._waiting = self._waiting, {}
        for waiter in waiting.values():
            waiter.set_exception(
                _interface.StoreReplyLost("connection to the store lost")
            )


def _item(message):
    return _interface.Item(
        key=message.key, value=message.value, version=message.version
    )
