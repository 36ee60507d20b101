"""Figures of policy runs."""

import dataclasses

import numpy

WARM_UP_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """Figures of one cell, over all its seeds. Latencies are in ms.

    Attributes:
      finished: requests finished in time, per second.
      in_time: the same as a share of all requests.
      refused: share refused at once or while waiting.
      late: share that was sent to a server and not answered in time.
      failed: share that a server answered with a failure.
      retries: further attempts per request.
      region_megabytes: megabytes per second between regions.
      fairness: Jain's index of the tenants' in-time shares.
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
    """Sum up the runs of one cell.

    Latency percentiles are over the requests that finished in time; read
    them beside in_time.

    Args:
      results: RunResult of each seed.
      start: arrivals before it do not count, seconds.
      end: arrivals from it on do not count, seconds; all where None.
      tenant: counts this tenant alone, where given.
      region: counts callers of this region alone, where given.
    Returns:
      Figures.
    """
    latencies, seconds, total = [], 0.0, 0
    counts, tenants, retries, volume = {}, {}, 0, 0
    for result in results:
        last = max((d.arrival.time for d in result.done), default=0.0)
        seconds += (last if end is None else end) - start
        retries += result.retries
        volume += result.region_bytes
        for done in result.done:
            arrival = done.arrival
            if arrival.time < start or (end and arrival.time >= end):
                continue
            if tenant is not None and arrival.tenant != tenant:
                continue
            if region is not None and arrival.place.region != region:
                continue
            total += 1
            counts[done.outcome] = counts.get(done.outcome, 0) + 1
            pair = tenants.setdefault(arrival.tenant, [0, 0])
            pair[1] += 1
            if done.outcome == "ok":
                pair[0] += 1
                latencies.append(done.latency * 1000)
    values = numpy.percentile(latencies or [0.0], (50, 99, 99.9))
    whole = max(total, 1)
    return Figures(
        finished=counts.get("ok", 0) / seconds,
        in_time=counts.get("ok", 0) / whole,
        p50=float(values[0]),
        p99=float(values[1]),
        p999=float(values[2]),
        refused=counts.get("refused", 0) / whole,
        late=(counts.get("late", 0) + counts.get("unknown", 0)) / whole,
        failed=counts.get("failed", 0) / whole,
        retries=retries / whole,
        region_megabytes=volume / 1e6 / seconds,
        fairness=_jain([ok / sent for ok, sent in tenants.values()]),
    )


def _jain(values):
    squares = sum(v * v for v in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def markdown_table(rows):
    """Return a table of rows of (label, Figures)."""
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
