"""Permission to send one request to one backend server."""

import dataclasses

from wigeonrouter import topology


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Permission to send one request to one backend server.

    Attributes:
      granted_at: time of the decision, monotonic seconds.
      expected_slowdown: expected slowdown of the server, a factor.
      nearly_full: whether the server was expected to be nearly full.
      report_age: seconds since its last load report, None without one.
      expected_utility: expected utility of the response.
      expected_load: expected number of requests at the server.
      round_trip: network round trip to the server, seconds.
      expected_latency: expected time to the response, seconds.
    """

    registration: topology.Registration
    granted_at: float
    expected_slowdown: float
    nearly_full: bool
    report_age: float | None
    expected_utility: float
    expected_load: float
    round_trip: float
    expected_latency: float
