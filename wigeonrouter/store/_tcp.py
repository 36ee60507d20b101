"""Store adapter for length-prefixed protobuf messages over TCP.

Calls are multiplexed over one connection: a reader task assigns replies to
pending calls by request id, so that a pending watch does not block others.
"""

import itertools

import gevent
from gevent import event
from gevent import lock
from gevent import socket

from wigeonrouter.schema import store_pb2
from wigeonrouter.store import _framing
from wigeonrouter.store import _interface

# Time that a watch's reply may arrive after the timeout of the watch.
_WATCH_REPLY_GRACE_S = 1.0


@_interface.adapter("tcp")
class TcpStore:
    """Implements _interface.Store.

    Args:
      address: core.Address of the store.
      timeout: seconds for connecting and for each reply but that of a watch.
    """

    def __init__(self, *, address, timeout):
        self._address = address
        self._timeout = timeout
        self._ids = itertools.count(1)
        self._pending = {}
        self._sock = None
        self._reader_task = None
        self._send_lock = lock.Semaphore()

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
            timeout=timeout + _WATCH_REPLY_GRACE_S,
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
        """Send a FaultCall; only the store stand-in supports it."""
        self._call(store_pb2.StoreRequest(fault=fault))

    def close(self):
        self._disconnect()

    def _call(self, request, timeout=None):
        """Send a request and wait for its reply, at most timeout seconds.

        Raises:
          StoreUnavailable: the connection could not be opened, or the store
            rejected the call.
          StoreReplyLost: the connection failed later, or the reply is late.
        """
        request.id = next(self._ids)
        reply_result = event.AsyncResult()
        with self._send_lock:
            sock = self._connect()
            self._pending[request.id] = reply_result
            try:
                _framing.send_message(sock, request)
            except OSError as error:
                self._disconnect()
                raise _interface.StoreReplyLost(str(error)) from error
        try:
            reply = reply_result.get(timeout=timeout or self._timeout)
        except gevent.Timeout as error:
            raise _interface.StoreReplyLost(
                "no reply before the timeout"
            ) from error
        finally:
            self._pending.pop(request.id, None)
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
        self._reader_task = gevent.spawn(self._read_replies, sock)
        return sock

    def _read_replies(self, sock):
        """Deliver replies to the pending calls until the connection ends."""
        try:
            while True:
                reply = _framing.receive_message(sock, store_pb2.StoreReply)
                if reply is None:
                    break
                reply_result = self._pending.pop(reply.id, None)
                if reply_result is not None:
                    reply_result.set(reply)
        except (OSError, _framing.FramingError):
            pass
        if self._sock is sock:
            self._disconnect()

    def _disconnect(self):
        """Close the connection and fail all pending calls."""
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        pending, self._pending = self._pending, {}
        for reply_result in pending.values():
            reply_result.set_exception(
                _interface.StoreReplyLost("connection to the store was lost")
            )


def _item(message):
    return _interface.Item(
        key=message.key, value=message.value, version=message.version
    )
