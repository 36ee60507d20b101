"""Registry of selection policies."""

import dataclasses

from wigeonrouter import core


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The policy chose a backend server.

    Attributes:
      memory: what the policy finds as PolicyContext.memory next time; never
        changed in place.
    """

    server: core.BackendServer
    policy_state: object = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """No server should get the request now; it waits in the queue."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolicyContext:
    """What a policy may use besides the views.

    Attributes:
      place: where this daemon runs.
      routing: core.RoutingSettings of the service.
      now: seconds on the monotonic clock.
      rng: random.Random.
      sequence: number of this choice, counted by the dispatcher.
      waiting: requests in the daemon's queue.
      memory: memory of the last Choice, None at first.
      share: this daemon's index among the daemons that divide the slots,
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
    """Register the decorated function as a policy.

    A policy is called as choose(views=, request=, context=) with a non-empty
    tuple of core.BackendView that may get work, and returns Choice or Wait.
    """

    def register(function):
        _POLICIES[name] = function
        return function

    return register


def find_policy(name):
    """Return the policy with a name, or None."""
    return _POLICIES.get(name)


def policy_names():
    """Return the registered names, ordered."""
    return tuple(sorted(_POLICIES))
