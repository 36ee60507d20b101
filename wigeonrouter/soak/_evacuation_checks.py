"""Check of evacuated failure domains."""

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _environment

# Written to the settings of the nodes.
EVACUATION_BOUND_S = 2.5


@_check_registry.check
def evacuated_servers_get_nothing(observations):
    """Undisturbed nodes send evacuated servers nothing after the bound.

    A server that stands still reads requests later than they were sent, so
    the service with such servers is left out.
    """
    nodes = {r.request_id: r.node for r in observations.requests}
    for evacuation in observations.evacuations:
        bound = evacuation.acknowledged + EVACUATION_BOUND_S
        for arrival in observations.arrivals:
            if (
                arrival.domain != evacuation.domain
                or arrival.service == _environment.POOLED_SERVICE
                or arrival.misdirected
                or not bound < arrival.at < evacuation.ended
            ):
                continue
            node = nodes.get(arrival.request_id)
            if all(
                _check_registry.was_undisturbed(
                    observations, name, evacuation.acknowledged, arrival.at
                )
                for name in (node, arrival.instance)
            ):
                yield _check_registry.violation(
                    "evacuation", f"{evacuation} {arrival} from {node}"
                )
