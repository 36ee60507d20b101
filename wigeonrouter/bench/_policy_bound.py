"""The bound: one central queue with perfect knowledge.

It knows each arrival, each service time and each slot exactly, and pays the
same network times as the daemons, but no time for messages about state. A
request goes to the slot in which it ends first, in the order of arrival;
one that cannot end in time is refused.
"""

from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_run


def run_central_queue(*, deployment, servers, arrivals):
    """Return the _policy_run.RunResult of the central queue."""
    free_at = [
        [server, 0.0] for server in servers for _ in range(server.slots)
    ]
    done, region_bytes, remote_times = [], 0, []
    for arrival in arrivals:
        best, best_end, best_half = None, None, 0.0
        start = arrival.time + deployment.caller_rtt / 2
        for slot in free_at:
            half = deployment.rtt(arrival.place, slot[0].place) / 2
            end = max(start + half, slot[1]) + arrival.work + half
            if best is None or end < best_end:
                best, best_end, best_half = slot, end, half
        latency = best_end + deployment.caller_rtt / 2 - arrival.time
        if latency > arrival.timeout:
            done.append(
                _policy_run.Done(
                    arrival=arrival, latency=0.0, outcome="refused"
                )
            )
            continue
        best[1] = best_end - best_half
        if best[0].place.region != arrival.place.region:
            region_bytes += (
                _policy_load.REQUEST_BYTES + _policy_load.RESPONSE_BYTES
            )
            remote_times.append(arrival.time)
        done.append(
            _policy_run.Done(arrival=arrival, latency=latency, outcome="ok")
        )
    return _policy_run.RunResult(
        done=tuple(done),
        retries=0,
        region_bytes=region_bytes,
        remote_times=tuple(remote_times),
    )
