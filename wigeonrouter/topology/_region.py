"""Selects the hub of a region and the home nodes of services.

The hub is the one node of each region that reads the store; it passes changes
on to the other nodes, its followers. All functions are pure, so every node
gets the same result from the same roster.
"""

import dataclasses
import enum

from wigeonrouter import core

# Followers of a region that check the store at a time, by their place among
# the candidates for the hub, and as many others at random.
_STORE_CHECKERS = 2
# Candidates for the hub up to which each of them checks the store.
_MAX_SMALL_REGION = 16


class RoleKind(enum.Enum):
    """The role of a node in its region."""

    UNDECIDED = "undecided"
    HUB = "hub"
    FOLLOWER = "follower"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Role:
    """The role that a node reports for itself.

    Attributes:
      hub: host of the hub, empty if undecided.
      store_reachable: whether the store responds to the hub.
    """

    kind: RoleKind
    hub: str = ""
    store_reachable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """A node of the own region.

    Attributes:
      host: IP address, which identifies it.
      ready: whether it accepts callers.
      capacity: CPU time that it may use, in millicores.
      reaches_servers: whether it is not cut off from all backend servers.
      forwarding_address: where it takes requests from other nodes, "" if it
        takes none.
      rate_limits: dict from instance to the requests per second to which
        that backend server limits all nodes, as it told this peer; None for
        a limit that has ended.
      statements: core.ServerStatements that hold, as this peer heard them.
      checks_keys: whether it authenticates requests. Nodes of earlier builds
        pass API keys on to servers.
    """

    host: str
    caller_address: str
    failure_domain: str
    ready: bool
    capacity: int
    reaches_servers: bool = True
    forwarding_address: str = ""
    rate_limits: dict[str, float | None] = dataclasses.field(
        default_factory=dict
    )
    statements: tuple[core.ServerStatement, ...] = ()
    checks_keys: bool = False


class HubAction(enum.Enum):
    """The next action of a node concerning its hub."""

    FOLLOW = "follow"
    BECOME_HUB = "become-hub"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """An action, with the host of the hub to follow."""

    action: HubAction
    hub: str = ""


def candidate_order(region, hosts):
    """Return the hosts of a region in order of preference for the hub."""
    return core.rendezvous_order(f"hub of {region}", hosts)


def decide_role(*, own_host, order, roles, excluded_hosts, reaches_store):
    """Decide which hub to follow, or whether to become the hub.

    An existing hub is kept, so that a returning node does not replace it. If
    there is none, the first alive node in order becomes the hub, and the
    others wait for it.

    Args:
      own_host: host of this node.
      order: candidate_order() of the region.
      roles: dict from host to its Role, for the hosts that responded.
      excluded_hosts: hosts that must not be followed now.
      reaches_store: whether this node reaches the store itself. If not, a hub
        that does not reach it either is accepted.
    Returns:
      Decision.
    """
    hubs, followed_hubs = set(), set()
    for host, role in roles.items():
        if reaches_store and not role.store_reachable:
            continue
        if role.kind is RoleKind.HUB:
            hubs.add(host)
        elif role.kind is RoleKind.FOLLOWER:
            followed_hubs.add(role.hub)
    for candidates in (hubs, followed_hubs):
        for host in order:
            if (
                host in candidates
                and host != own_host
                and host not in excluded_hosts
            ):
                return Decision(action=HubAction.FOLLOW, hub=host)
    for host in order:
        if host == own_host:
            break
        role = roles.get(host)
        undecided = role is not None and role.kind is RoleKind.UNDECIDED
        if undecided and host not in excluded_hosts:
            return Decision(action=HubAction.WAIT)
    return Decision(action=HubAction.BECOME_HUB)


def should_step_down(*, own_host, order, roles):
    """Return whether a hub should step down in favour of another hub.

    Two hubs may exist after a network partition. The first one in order stays.

    Args:
      own_host: host of this node, a hub.
      order: candidate_order() of the region.
      roles: dict from host to its Role, for the hosts that responded.
    """
    position = {host: index for index, host in enumerate(order)}
    last = len(order)
    for host, role in roles.items():
        hub = host if role.kind is RoleKind.HUB else role.hub
        if role.kind is RoleKind.UNDECIDED or not role.store_reachable:
            continue
        if hub != own_host and position.get(hub, last) < position.get(
            own_host, last
        ):
            return True
    return False


def later_hubs(*, own_host, order, roles):
    """Return the hosts of the other hubs that have to step down.

    Load pattern: two nodes take the place of a hub at the same moment. The
    nodes that the later one asks for their roles all follow it, so only the
    earlier one finds out.

    Args:
      own_host: host of this node, a hub.
      order: candidate_order() of the region.
      roles: dict from host to its Role, for the hosts that responded.
    Returns:
      Tuple of hosts.
    """
    known = {role.hub for role in roles.values()}
    return tuple(
        host for host in order[order.index(own_host) + 1 :] if host in known
    )


def should_check_store(*, own_host, candidates, rng):
    """Return whether a follower checks the store that its hub cannot reach.

    Load pattern: the store does not respond for seconds, and every call to it
    is paid for. If each of hundreds of followers checked it every second,
    nearly all calls would be checks. The first candidates check it, since one
    of them would be the next hub, and a few others at random, since the store
    may reject some nodes only. In a small region all of them check it: the
    first ones may be rejected as well, and the others would find out too late.

    Args:
      own_host: host of the follower.
      candidates: hosts that may become the hub, in order of preference. The
        present hub and nodes that are not ready do not belong to them.
      rng: random.Random.
    """
    if len(candidates) <= _MAX_SMALL_REGION:
        return True
    if own_host in candidates[:_STORE_CHECKERS]:
        return True
    return rng.random() * len(candidates) < _STORE_CHECKERS


def home_nodes(*, service, peers, count):
    """Return the home nodes of a service, the first one first.

    Only nodes with more than half of the largest capacity are considered, so
    that most requests do not go to the smallest VMs. A node that is cut off
    from all servers is no home, unless all nodes are.

    Args:
      service: name of the service.
      peers: iterable of Peer of one region.
      count: number of home nodes.
    Returns:
      A tuple of Peer, empty if none is ready.
    """
    ready = {peer.host: peer for peer in peers if peer.ready}
    if not ready:
        return ()
    linked = {
        host: peer for host, peer in ready.items() if peer.reaches_servers
    }
    ready = linked or ready
    max_capacity = max(peer.capacity for peer in ready.values())
    large_hosts = [
        host
        for host, peer in ready.items()
        if 2 * peer.capacity > max_capacity
    ]
    order = core.rendezvous_order(f"home of {service}", large_hosts)
    return tuple(ready[host] for host in order[:count])


def entry_peers(peers, *, keys_required):
    """Return the peers that the directory chooses from.

    Load pattern: a deployment gets tenants while nodes of an earlier build
    still run. Callers are sent to the nodes that check their keys, unless
    none of these is ready.

    Args:
      peers: iterable of Peer of one region.
      keys_required: whether requests need API keys.
    """
    checking = tuple(peer for peer in peers if peer.checks_keys and peer.ready)
    return checking if keys_required and checking else peers


def entry_nodes(*, service, peers, own_host, count, roster_age, max_age):
    """Return the nodes that the directory names for a service.

    Load pattern: a node of the region is killed, or the node that is asked is
    cut off from the others. What it knows of them is then outdated, while
    callers go on to ask it.

    Args:
      service: name of the service.
      peers: iterable of Peer of one region.
      own_host: host of the node that is asked.
      count: number of nodes to name.
      roster_age: seconds since the peers were known to be current.
      max_age: age above which only the own node is named.
    Returns:
      A tuple of Peer, empty if none is ready.
    """
    if roster_age > max_age:
        peers = [peer for peer in peers if peer.host == own_host]
    return home_nodes(service=service, peers=peers, count=count)


def forwarding_peers(*, service, peers, own_host, count, keys_required=False):
    """Return the peers that may take a request which this node cannot serve.

    The home of the service comes first, since it knows which slots are taken.

    Args:
      service: name of the service.
      peers: iterable of Peer of one region.
      own_host: host of this node.
      count: largest number of peers.
      keys_required: whether requests need API keys. Only peers that check
        keys get requests then.
    Returns:
      A tuple of Peer.
    """
    able = [
        peer
        for peer in peers
        if peer.host != own_host
        and peer.reaches_servers
        and peer.forwarding_address
        and (peer.checks_keys or not keys_required)
    ]
    return home_nodes(service=service, peers=able, count=count)


def remote_forwarding_hosts(*, service, hosts, count):
    """Return the hosts of other regions that may take a request.

    Load pattern: all nodes of a region are cut off from the servers. Nothing
    is known of the nodes elsewhere but that they exist.

    Args:
      service: name of the service.
      hosts: iterable of the hosts of other regions.
      count: largest number of hosts.
    """
    return core.rendezvous_order(f"home of {service}", hosts)[:count]


def merge_rate_limits(peers):
    """Return what servers said about their limits to any of the peers.

    The end of a limit counts before a limit, since it is only stated by the
    home, which knows best; of two limits the smaller one counts.

    Args:
      peers: iterable of Peer.
    Returns:
      Dict from instance to requests per second, None for a limit that has
      ended.
    """
    merged = {}
    for peer in peers:
        for instance, limit in peer.rate_limits.items():
            known = merged.get(instance, limit)
            ended = limit is None or known is None
            merged[instance] = None if ended else min(limit, known)
    return merged
