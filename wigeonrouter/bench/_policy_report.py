"""Summary figures of simulated policy runs."""

import dataclasses

import numpy

# Arrivals before this time are left out of the figures.
WARM_UP_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """Figures of one cell over all of its seeds.

    Attributes:
      finished: requests that finished within their timeout, per second.
      in_time: the same as a share of all requests.
      p50: median latency of those requests, in ms.
      p99: 99th percentile of their latency, in ms.
      p999: 99.9th percentile of their latency, in ms.
      refused: share rejected at once or while queued.
      late: share sent to a backend server without a response in time.
      failed: share that ended with a failure response.
      retries: retries per request.
      region_megabytes: traffic between regions, in MB/s.
      fairness: Jain's index over the in-time shares of the tenants.
    """

    finished: float
    in_time: float
    p50: float
    p99: float
    p999: float
    refused: float
    late: float
    failed: float
    retries: float
    region_megabytes: float
    fairness: float


def summarise(results, *, start=WARM_UP_S, end=None, tenant=None, region=None):
    """Return the Figures of the runs of one cell.

    Latency percentiles cover only requests that finished in time, so they
    are meaningful only together with in_time.

    Args:
      results: _policy_run.RunResult of each seed.
      start: leaves out arrivals before this time, in seconds.
      end: leaves out arrivals from this time on, in seconds, unless None.
      tenant: counts only this tenant, unless None.
      region: counts only callers of this region, unless None.
    """
    latencies, seconds, total = [], 0.0, 0
    counts, tenants, retries, total_region_bytes = {}, {}, 0, 0
    for result in results:
        last = max(
            (r.arrival.time for r in result.request_results), default=0.0
        )
        seconds += (last if end is None else end) - start
        retries += result.retries
        total_region_bytes += result.region_bytes
        for request_result in result.request_results:
            arrival = request_result.arrival
            if arrival.time < start or (end and arrival.time >= end):
                continue
            if tenant is not None and arrival.tenant != tenant:
                continue
            if region is not None and arrival.place.region != region:
                continue
            total += 1
            counts[request_result.outcome] = (
                counts.get(request_result.outcome, 0) + 1
            )
            tenant_counts = tenants.setdefault(arrival.tenant, [0, 0])
            tenant_counts[1] += 1
            if request_result.outcome == "ok":
                tenant_counts[0] += 1
                latencies.append(request_result.latency * 1000)
    values = numpy.percentile(latencies or [0.0], (50, 99, 99.9))
    divisor = max(total, 1)
    return Figures(
        finished=counts.get("ok", 0) / seconds,
        in_time=counts.get("ok", 0) / divisor,
        p50=float(values[0]),
        p99=float(values[1]),
        p999=float(values[2]),
        refused=counts.get("refused", 0) / divisor,
        late=(counts.get("late", 0) + counts.get("unknown", 0)) / divisor,
        failed=counts.get("failed", 0) / divisor,
        retries=retries / divisor,
        region_megabytes=total_region_bytes / 1e6 / seconds,
        fairness=_jain([ok / sent for ok, sent in tenants.values()]),
    )


def _jain(values):
    squares = sum(v * v for v in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def markdown_table(rows):
    """Return a Markdown table of rows of (label, Figures)."""
    lines = [
        "| | finished/s | in time | p50 | p99 | p99.9 | refused | late "
        "| failed | retries | MB/s between regions | fairness |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for label, f in rows:
        lines.append(
            f"| {label} | {f.finished:.0f} | {f.in_time:.2%} | {f.p50:.1f} "
            f"| {f.p99:.1f} | {f.p999:.1f} | {f.refused:.2%} "
            f"| {f.late:.2%} | {f.failed:.2%} | {f.retries:.2%} "
            f"| {f.region_megabytes:.3f} | {f.fairness:.3f} |"
        )
    return "\n".join(lines)
