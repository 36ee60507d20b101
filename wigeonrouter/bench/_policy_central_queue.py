"""Upper bound for the policies: a central FIFO queue with exact knowledge.

The scheduler knows the service time of each request and when each slot
becomes free. It pays the same network round trips as the daemons, but its
state information arrives without delay. In order of arrival, each request
gets the slot on which it finishes first; a request that cannot finish within
its timeout is rejected.
"""

from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_run


def run_central_queue(*, deployment, servers, arrivals):
    """Schedule the arrivals centrally; return a _policy_run.RunResult."""
    free_at = [
        [server, 0.0] for server in servers for _ in range(server.slots)
    ]
    request_results, region_bytes, remote_times = [], 0, []
    for arrival in arrivals:
        best, best_end, best_one_way = None, None, 0.0
        start = arrival.time + deployment.caller_rtt / 2
        for slot in free_at:
            one_way = deployment.rtt(arrival.place, slot[0].place) / 2
            end = (
                max(start + one_way, slot[1]) + arrival.service_time + one_way
            )
            if best is None or end < best_end:
                best, best_end, best_one_way = slot, end, one_way
        latency = best_end + deployment.caller_rtt / 2 - arrival.time
        if latency > arrival.timeout:
            request_results.append(
                _policy_run.RequestResult(
                    arrival=arrival, latency=0.0, outcome="refused"
                )
            )
            continue
        best[1] = best_end - best_one_way
        if best[0].place.region != arrival.place.region:
            region_bytes += (
                _policy_load.REQUEST_BYTES + _policy_load.RESPONSE_BYTES
            )
            remote_times.append(arrival.time)
        request_results.append(
            _policy_run.RequestResult(
                arrival=arrival, latency=latency, outcome="ok"
            )
        )
    return _policy_run.RunResult(
        request_results=tuple(request_results),
        retries=0,
        region_bytes=region_bytes,
        remote_times=tuple(remote_times),
    )
