"""Registry of selection policies."""

import dataclasses

from wigeonrouter import core


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The policy chose a backend server.

    Attributes:
      policy_state: passed to the next call as PolicyContext.policy_state; must
        not be modified.
    """

    server: core.BackendServer
    policy_state: object = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """No server should get the request now; it stays in the queue."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolicyContext:
    """Inputs of a policy besides the views and the request.

    Attributes:
      place: core.Place of this daemon.
      routing: core.RoutingSettings of the service.
      now: seconds on the monotonic clock.
      rng: random.Random.
      sequence: number of this choice, counted by the dispatcher.
      queue_length: number of requests in the daemon's queue.
      policy_state: policy_state of the last Choice, None at first.
      slot_share: this daemon's index among the daemons that divide the slots,
        and their number.
    """

    place: core.Place
    routing: core.RoutingSettings
    now: float
    rng: object
    sequence: int
    queue_length: int = 0
    policy_state: object = None
    slot_share: tuple[int, int] = (0, 1)


_POLICIES = {}


def policy(name):
    """Register the decorated function as the policy with a name.

    A policy is called as choose(views=, request=, context=), where views is a
    non-empty tuple of core.BackendView of eligible servers. It returns Choice
    or Wait.
    """

    def register(function):
        _POLICIES[name] = function
        return function

    return register


def find_policy(name):
    """Return the policy with a name, or None."""
    return _POLICIES.get(name)


def policy_names():
    """Return the names of all policies, sorted."""
    return tuple(sorted(_POLICIES))
