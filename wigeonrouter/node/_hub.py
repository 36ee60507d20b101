"""The hub's side of replication within a region.

The hub is the region's leader: it alone reads the store. It sends store
changes, the roster (the list of the region's nodes) and heartbeats to its
followers.
"""

import time

import gevent
from gevent import event
from gevent import queue as gevent_queue

from wigeonrouter.node import _channel
from wigeonrouter.node import _roster
from wigeonrouter.node import _store_cache
from wigeonrouter.schema import node_pb2

HEARTBEAT_INTERVAL_S = 0.4
# Delay before changes of the roster are sent. Many nodes may join at the same
# time, so their changes are sent together.
_ROSTER_BATCH_DELAY_S = 0.05
# A peer that sends no message for this time is considered dead.
PEER_TIMEOUT_S = 1.2
_SEND_TIMEOUT_S = 1.0
# A node that sends nothing for this time may be on the other side of a
# partition. A hub that has lost most nodes has to stop granting tokens soon.
SERVED_TIMEOUT_S = 0.8
# A follower whose send queue exceeds this length is disconnected and has to
# join again.
_MAX_QUEUED_MESSAGES = 500
# A follower that may take over has to be the hub within this time.
_TAKE_OVER_TIMEOUT_S = 1.5
_MILLISECONDS = 1000


class _Follower:
    def __init__(self, *, join, now):
        self.state = join.state
        self.accepts_roster_changes = join.accepts_roster_changes
        self.send_queue = gevent_queue.Queue(maxsize=_MAX_QUEUED_MESSAGES)
        self.overflowed = False
        self.heard_at = now

    def enqueue(self, message):
        try:
            self.send_queue.put_nowait(message)
        except gevent_queue.Full:
            self.overflowed = True


class Hub:
    """Manages the followers of this node while it is the hub.

    Args:
      store_cache: StoreCache.
      own_state: function that returns this node's NodeState.
      on_roster: called with a dict from host to NodeState after each change.
      copy_age: function that returns the time in seconds since the copy of
        the store was current, None if that is unknown.
      expected_members: NodeStates that were known before this node became
        the hub; they stay in the roster for PEER_TIMEOUT_S so that they
        have time to join.
      quota_hub: QuotaHub, None for a hub that grants no quota tokens.
    """

    def __init__(
        self,
        *,
        store_cache,
        own_state,
        on_roster,
        copy_age=lambda: None,
        expected_members=(),
        quota_hub=None,
        clock=time.monotonic,
    ):
        self._store_cache = store_cache
        self._own_state = own_state
        self._on_roster = on_roster
        self._copy_age = copy_age
        self._quota_hub = quota_hub
        self._clock = clock
        self._followers = {}
        self._expected_members = {
            state.host: state for state in expected_members
        }
        self._expected_until = clock() + PEER_TIMEOUT_S
        self._store_reachable = True
        self._successor = ""
        self._successor_until = float("-inf")
        self._roster_task = None
        self._heartbeat_due = event.Event()
        # The roster that all followers have, or that is in their send queues.
        self._sent_roster = self.roster()

    @property
    def served_hosts(self):
        """Hosts of the nodes that were heard lately, this one included."""
        heard_after = self._clock() - SERVED_TIMEOUT_S
        return [self._own_state().host] + [
            host
            for host, follower in self._followers.items()
            if follower.heard_at >= heard_after
        ]

    def grant_quotas_from(self, quota_hub):
        """Serve the quota requests of followers from now on."""
        self._quota_hub = quota_hub

    def set_store_reachable(self, reachable):
        """Record whether the store is reachable and notify the followers."""
        if reachable != self._store_reachable:
            self._store_reachable = reachable
            self.send_heartbeat()

    def grant_take_over(self, host):
        """Return whether a follower that reaches the store may be the hub.

        Only one at a time may, so that the region does not split into as many
        parts as there are followers that reach the store.
        """
        now = self._clock()
        if self._store_reachable:
            return False
        if now < self._successor_until and host != self._successor:
            return False
        self._successor = host
        self._successor_until = now + _TAKE_OVER_TIMEOUT_S
        return True

    def roster(self):
        """Return the members of the region, a dict from host to NodeState."""
        members = {}
        if self._clock() < self._expected_until:
            members.update(self._expected_members)
        for host, follower in self._followers.items():
            members[host] = follower.state
        own = self._own_state()
        members[own.host] = own
        return members

    def serve(self, channel, join):
        """Serve one follower until it disconnects, in the calling task.

        Args:
          channel: Channel to the follower.
          join: the follower's Join message.
        """
        follower = _Follower(join=join, now=self._clock())
        host = join.state.host
        self._followers[host] = follower
        if self._quota_hub is not None:
            self._quota_hub.on_join(host)
        follower.enqueue(
            node_pb2.PeerMessage(
                update=self._store_cache.update_since(
                    _store_cache.read_position(join)
                )
            )
        )
        follower.enqueue(self._heartbeat_message())
        follower.enqueue(_whole_roster(self._sent_roster))
        self.broadcast_roster()
        writer = gevent.spawn(self._write, channel, follower)
        try:
            while not follower.overflowed:
                message = channel.receive(
                    timeout=PEER_TIMEOUT_S,
                    max_bytes=_channel.MAX_SHORT_MESSAGE_BYTES,
                )
                follower.heard_at = self._clock()
                if message.HasField("quota_request"):
                    self._serve_quotas(host, follower, message)
                if not message.HasField("state"):
                    continue
                if message.state != follower.state:
                    follower.state = message.state
                    self.broadcast_roster()
        except _channel.ChannelClosed:
            pass
        finally:
            writer.kill()
            if self._followers.get(host) is follower:
                del self._followers[host]
                if self._quota_hub is not None:
                    self._quota_hub.on_leave(host)
                self._expected_members.pop(host, None)
                self.broadcast_roster()

    def broadcast_update(self, update):
        """Send an Update to all followers."""
        self._broadcast(node_pb2.PeerMessage(update=update))

    def broadcast_roster(self):
        """Publish changes of the roster, to followers after a short delay.

        This node's own `on_roster` is called immediately.
        """
        self._on_roster(self.roster())
        if self._roster_task is None or self._roster_task.ready():
            self._roster_task = gevent.spawn_later(
                _ROSTER_BATCH_DELAY_S, self._send_roster
            )

    def announce_proof(self):
        """Let the next heartbeat follow at once, as the copy is current."""
        self._heartbeat_due.set()

    def send_heartbeat(self, *, leaving=False, successor=""):
        """Send a heartbeat to all followers.

        Args:
          leaving: whether the followers should choose another hub.
          successor: host of that hub, if it is known.
        """
        self._broadcast(
            self._heartbeat_message(leaving=leaving, successor=successor)
        )

    def run_heartbeats(self):
        """Send heartbeats until the task is killed.

        Also publishes the roster when the expected members that did not
        join are dropped from it.
        """
        expecting_members = bool(self._expected_members)
        while True:
            self._heartbeat_due.wait(timeout=HEARTBEAT_INTERVAL_S)
            self._heartbeat_due.clear()
            self.send_heartbeat()
            self._send_quota_totals()
            if expecting_members and self._clock() >= self._expected_until:
                expecting_members = False
                self.broadcast_roster()

    def _serve_quotas(self, host, follower, message):
        """Grant tokens, unless the follower has joined anew meanwhile."""
        if self._quota_hub is None:
            return
        self._quota_hub.wait_until_it_answers()
        if self._followers.get(host) is not follower:
            return
        grant = self._quota_hub.serve_message(host, message.quota_request)
        if grant is not None:
            follower.enqueue(grant)

    def _send_quota_totals(self):
        """Let some followers know what they would report to the next hub."""
        if self._quota_hub is None:
            return
        message = self._quota_hub.take_totals()
        if message is None:
            return
        for host in self._quota_hub.totals_receivers():
            self._followers[host].enqueue(message)

    def _send_roster(self):
        """Send what changed since the last time, the whole to old followers.

        Followers of earlier versions do not know RosterChange.
        """
        roster = self.roster()
        change = _roster.find_change(self._sent_roster, roster)
        if change is None:
            return
        self._sent_roster = roster
        change_message = node_pb2.PeerMessage(roster_change=change)
        for follower in self._followers.values():
            follower.enqueue(
                change_message
                if follower.accepts_roster_changes
                else _whole_roster(roster)
            )

    def _heartbeat_message(self, *, leaving=False, successor=""):
        return node_pb2.PeerMessage(
            pulse=node_pb2.Pulse(
                store_answers=self._store_reachable,
                leaving=leaving,
                successor=successor,
                proof=self._proof(),
            )
        )

    def _proof(self):
        position = self._store_cache.position
        age = self._copy_age()
        return node_pb2.CopyProof(
            age_ms=None if age is None else round(age * _MILLISECONDS),
            revision=position.revision,
            era=position.era,
        )

    def _broadcast(self, message):
        for follower in self._followers.values():
            follower.enqueue(message)

    def _write(self, channel, follower):
        try:
            while True:
                message = follower.send_queue.get()
                channel.send(message, timeout=_SEND_TIMEOUT_S)
        except _channel.ChannelClosed:
            channel.close()


def _whole_roster(roster):
    return node_pb2.PeerMessage(roster=_roster.to_message(roster))
