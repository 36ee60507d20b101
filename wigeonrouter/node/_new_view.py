"""Makes the ServerView of a backend server that has just registered."""

from wigeonrouter import placement

# Assumed round trip to another region until one is measured.
_REMOTE_ROUND_TRIP_S = 0.042
# Assumed round trip within the region until one is measured.
_LOCAL_ROUND_TRIP_S = 0.0015


def make_view(registration, *, place):
    """Return the placement.ServerView of a server.

    Args:
      registration: topology.Registration of the server.
      place: core.Place of this node.
    """
    locality = _find_locality(registration.place, place)
    remote = locality is placement.Locality.REMOTE
    return placement.ServerView(
        instance=registration.instance,
        locality=locality,
        place=registration.place,
        slots=registration.slots,
        round_trip=_REMOTE_ROUND_TRIP_S if remote else _LOCAL_ROUND_TRIP_S,
    )


def _find_locality(server_place, place):
    if server_place.failure_domain == place.failure_domain:
        return placement.Locality.DOMAIN
    if server_place.region == place.region:
        return placement.Locality.REGION
    return placement.Locality.REMOTE
