"""Membership: the member table, gossip between daemons, peer transport."""

from wigeonrouter.membership import _gossip
from wigeonrouter.membership import _table
from wigeonrouter.membership import _transport

Gossip = _gossip.Gossip
MemberTable = _table.MemberTable
PeerServer = _transport.PeerServer
