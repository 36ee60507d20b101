"""A follower's side of replication within a region.

A follower gets the changes of the store and the roster from its hub, and
sends the hub its own state.
"""

import dataclasses
import functools
import time
import typing

import gevent
from gevent import lock

from wigeonrouter.node import _channel
from wigeonrouter.node import _hub
from wigeonrouter.node import _peer_requests
from wigeonrouter.node import _roster
from wigeonrouter.node import _store_cache
from wigeonrouter.schema import node_pb2

_STORE_CHECK_INTERVAL_S = 1.0
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowerCallbacks:
    """What a Follower needs of its node.

    Attributes:
      own_state: returns this node's NodeState.
      roster: returns the roster of this node, a dict from host to NodeState.
      on_roster: called with each new roster.
      on_heartbeat: called with whether the store responds to the hub.
      on_confirmed: called with the seconds since this node's copy of the
        store was current.
      on_successor: called with the host of the hub to follow next, "" if the
        hub that stops knows none.
      on_store_lost: called when this node leaves the hub because it does not
        reach the store.
      has_better_hub: returns whether this node should leave a hub that does
        not reach the store.
      on_joined: called with the function that sends a PeerMessage to the hub.
      on_quota_grant: called with each QuotaGrant.
      notice: logs an event by its name and fields.
    """

    own_state: typing.Callable
    roster: typing.Callable
    on_roster: typing.Callable
    on_heartbeat: typing.Callable
    on_confirmed: typing.Callable
    on_successor: typing.Callable
    on_store_lost: typing.Callable
    has_better_hub: typing.Callable
    on_joined: typing.Callable = lambda send: None
    on_quota_grant: typing.Callable = lambda grant: None
    notice: typing.Callable = lambda name, **fields: None


class Follower:
    """Follows one hub.

    Args:
      hub: host of the hub.
      port: port for traffic between nodes.
      store_cache: StoreCache.
      state_changed: gevent event.Event that is set when the state of this
        node has changed.
      callbacks: FollowerCallbacks.
    """

    def __init__(
        self,
        *,
        hub,
        port,
        store_cache,
        state_changed,
        callbacks,
        clock=time.monotonic,
    ):
        self._hub = hub
        self._port = port
        self._store_cache = store_cache
        self._state_changed = state_changed
        self._callbacks = callbacks
        self._clock = clock
        # States and quota requests are sent by tasks of their own.
        self._sending = lock.BoundedSemaphore(1)

    def run(self):
        """Follow the hub until it fails, leaves or loses the store.

        Returns:
          The reason for leaving the hub, as text for the log.
        """
        try:
            channel = _channel.connect(
                host=self._hub,
                port=self._port,
                timeout=_peer_requests.CONNECT_TIMEOUT_S,
            )
        except _channel.ChannelClosed as error:
            return str(error)
        writer = None
        try:
            self._join(channel)
            self._callbacks.on_joined(functools.partial(self._send, channel))
            writer = gevent.spawn(self._send_states, channel)
            return self._receive(channel)
        except _channel.ChannelClosed as error:
            return str(error)
        finally:
            if writer is not None:
                writer.kill()
            channel.close()

    def _join(self, channel):
        position = self._store_cache.position
        join = node_pb2.Join(
            state=self._callbacks.own_state(),
            revision=position.revision,
            era=position.era,
            accepts_roster_changes=True,
        )
        with self._sending:
            channel.send(
                node_pb2.PeerMessage(join=join),
                timeout=_peer_requests.REQUEST_TIMEOUT_S,
            )
        self._callbacks.notice(
            "hub-joined",
            hub=self._hub,
            era=position.era,
            revision=position.revision,
            confirmed=self._store_cache.confirmed,
        )

    def _apply_update(self, update):
        """Apply an Update of the hub, and log one that has all keys.

        Raises:
          RestoreMissed: it has changes of a later era than the copy.
        """
        items, keys = self._store_cache.apply_update(update)
        if not update.whole:
            return
        position = self._store_cache.position
        self._callbacks.notice(
            "hub-copy-applied",
            hub=self._hub,
            items=items,
            keys=keys,
            era=position.era,
            revision=position.revision,
            confirmed=self._store_cache.confirmed,
        )

    def _send(self, channel, message):
        """Send a message; close the channel if the hub does not take it."""
        try:
            with self._sending:
                channel.send(message, timeout=_peer_requests.REQUEST_TIMEOUT_S)
        except _channel.ChannelClosed:
            channel.close()

    def _receive(self, channel):
        """Apply the hub's messages; return the reason for leaving it.

        A follower leaves a hub that lost the store if it reaches the store
        itself or knows of another hub that does.

        Raises:
          ChannelClosed: the hub disconnected or sent nothing in time.
        """
        last_store_check = float("-inf")
        while True:
            message = channel.receive(timeout=_hub.PEER_TIMEOUT_S)
            kind = message.WhichOneof("body")
            if kind == "update":
                try:
                    self._apply_update(message.update)
                except _store_cache.RestoreMissed:
                    return "missed a restore of the store"
            elif kind == "roster":
                self._callbacks.on_roster(_roster.from_message(message.roster))
            elif kind == "roster_change":
                self._callbacks.on_roster(
                    _roster.apply_change(
                        self._callbacks.roster(), message.roster_change
                    )
                )
            elif kind == "quota_grant":
                self._callbacks.on_quota_grant(message.quota_grant)
            elif kind == "role":
                return "is not a hub"
            elif kind == "pulse":
                if message.pulse.leaving:
                    self._callbacks.on_successor(message.pulse.successor)
                    return "stops"
                self._callbacks.on_heartbeat(message.pulse.store_answers)
                self._take_proof(message.pulse)
                now = self._clock()
                if (
                    not message.pulse.store_answers
                    and now - last_store_check >= _STORE_CHECK_INTERVAL_S
                ):
                    last_store_check = now
                    if self._callbacks.has_better_hub():
                        self._callbacks.on_store_lost()
                        return "does not reach the store"

    def _take_proof(self, pulse):
        """Record how old the hub's copy is, if this node has all of it."""
        if not self._store_cache.confirmed:
            return
        if not pulse.HasField("proof"):
            # A hub of an earlier build.
            if pulse.store_answers:
                self._callbacks.on_confirmed(0.0)
            return
        proof = pulse.proof
        position = _store_cache.read_position(proof)
        if proof.HasField("age_ms") and position <= self._store_cache.position:
            self._callbacks.on_confirmed(proof.age_ms / _MILLISECONDS)

    def _send_states(self, channel):
        while True:
            self._state_changed.wait(timeout=_hub.HEARTBEAT_INTERVAL_S)
            self._state_changed.clear()
            self._send(
                channel,
                node_pb2.PeerMessage(state=self._callbacks.own_state()),
            )
