"""Who reads the store for a region, and which nodes serve which service.

One node of each region, the hub, reads the store and passes changes on to
the others, which follow it. All functions are pure; every node comes to the
same result from the same roster.
"""

import dataclasses
import enum

from wigeonrouter import core


class RoleKind(enum.Enum):
    """What a node does for its region."""

    UNDECIDED = "undecided"
    HUB = "hub"
    FOLLOWER = "follower"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Role:
    """A node's role as it states it.

    Attributes:
      hub: host of the hub, empty where undecided.
      store_answers: whether the store answers the hub.
    """

    kind: RoleKind
    hub: str = ""
    store_reachable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """A node of the own region.

    Attributes:
      host: IP number, which names it.
      ready: whether callers may be sent there.
      capacity: processor time that it may use, in thousandths of a core.
    """

    host: str
    caller_address: str
    failure_domain: str
    ready: bool
    capacity: int


class HubAction(enum.Enum):
    """What a node does next about its hub."""

    FOLLOW = "follow"
    BECOME_HUB = "become-hub"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """A verdict, with the host of the hub to follow."""

    action: HubAction
    hub: str = ""


def candidate_order(region, hosts):
    """Order the hosts of a region for the role of the hub."""
    return core.rendezvous_order(f"hub of {region}", hosts)


def decide_role(*, own_host, order, roles, excluded_hosts, reaches_store):
    """Decide whom to follow.

    A hub that exists is kept, so that a returning node does not take the
    role away. Where there is none, the first node in order that lives
    becomes the hub; the others wait for it.

    Args:
      own: own host.
      order: candidate_order() of the region.
      answers: dict from host to its Role, of those that answered.
      avoided: hosts that must not be followed now.
      reaches_store: whether this node reaches the store itself; if not, a
        hub that does not is as good as any.
    Returns:
      Decision.
    """
    hubs, named = set(), set()
    for host, role in roles.items():
        if reaches_store and not role.store_reachable:
            continue
        if role.kind is RoleKind.HUB:
            hubs.add(host)
        elif role.kind is RoleKind.FOLLOWER:
            named.add(role.hub)
    for found in (hubs, named):
        for host in order:
            if (
                host in found
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
    """Return whether a hub makes room for another one.

    Two hubs may exist after nodes lost each other. The one that comes first
    in order stays.
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


def home_nodes(*, service, peers, count):
    """Return the peers that serve a service's callers, the first one first.

    Only peers of the largest capacity are taken, so that the machines that
    serve most are not the weakest.

    Args:
      service: name of the service.
      peers: iterable of Peer of one region.
      count: number of homes.
    """
    ready = {peer.host: peer for peer in peers if peer.ready}
    if not ready:
        return ()
    most = max(peer.capacity for peer in ready.values())
    strong = [host for host, peer in ready.items() if 2 * peer.capacity > most]
    order = core.rendezvous_order(f"home of {service}", strong)
    return tuple(ready[host] for host in order[:count])
