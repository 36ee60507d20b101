"""Cluster membership, facts about backend servers, and peer transport."""

from wigeonrouter.membership import _facts
from wigeonrouter.membership import _gossip
from wigeonrouter.membership import _replication
from wigeonrouter.membership import _table
from wigeonrouter.membership import _tls
from wigeonrouter.membership import _transport

FactTable = _facts.FactTable
Gossip = _gossip.Gossip
MemberTable = _table.MemberTable
PeerTls = _tls.PeerTls
PeerServer = _transport.PeerServer
Replication = _replication.Replication
ServerFact = _facts.ServerFact
