"""A share of a quota that a late write gives away after its hub was killed."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support3  # noqa: E402

RATE, BURST, WINDOW, OVERAGE, SLACK = 60, 30, 5.0, 0.1, 20
ALLOWED = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
SHARES_KEY = "wigeonrouter/quota/shares"
# Answers of the store are lost, and the write is done 1 to 6 s later.
LATE_S = 6.0
KILL_DELAY_S = 0.7
BOUNDS = {
    **support3.BOUNDS,
    "revoke_strict": "false",
    "revoke": "5000ms",
    "quota_window": "5s",
    "quota_overage": str(OVERAGE),
    "quota_slack": str(SLACK),
}


def make(request_id):
    """Return the bytes of a request of the tenant."""
    return support3.request(
        "GET",
        "/read/x",
        "a.example",
        request_id,
        deadline=2000,
        more=[("Key", "key-1")],
    )


def main():
    settings = {"bounds": ",".join(f"{k}={v}" for k, v in BOUNDS.items())}
    zones = ["za", "za", "za", "zb"]
    with support3.Case(
        FOLDER, nodes=4, zones=zones, settings=settings
    ) as case:
        return run(case)


def run(case):
    servers = []
    for number, zone in enumerate(("za", "zb")):
        server = support3.FastServer(
            case.record, instance=f"i-{number}", service="papers", slots=8
        )
        entry = server.entry()
        entry["info"]["zone"] = zone
        case.store.put(f"servers/{server.instance}", entry)
        servers.append(server)
    case.configure(
        1,
        {"r-read": support3.route("a.example", "/read/", "papers")},
        ["papers"],
        tenants={
            "t-1": {
                "api_keys": ["key-1"],
                "priority": 1,
                "rate_per_s": RATE,
                "burst": BURST,
            }
        },
    )
    case.start()
    lost = threading.Event()
    writer = []

    def make_lose(node):
        def lose(request):
            if (
                lost.is_set()
                or "kv-txn" not in request.first
                or SHARES_KEY not in _keys(request)
            ):
                return None
            writer.append(node)
            lost.set()
            case.record.write(f"answer to the shares of {node.host} is lost")
            return LATE_S

        return lose

    if case.trouble:
        for node in case.nodes:
            node.store.lose = make_lose(node)
    began = time.monotonic()
    there = support3.Load(case, case.nodes[3], "b", rate=120, make=make)
    there.start()
    if case.trouble:
        if not lost.wait(20.0):
            return support3.CANNOT_RUN
        time.sleep(KILL_DELAY_S)
        # The process that last wrote to the store under a condition.
        writer[0].signal(support3.signal.SIGKILL)
        case.record.write(f"{writer[0].host} is killed")
    else:
        time.sleep(8.0)
    others = [node for node in case.nodes[:3] if node not in writer]
    here = support3.Load(case, others[0], "a", rate=100, make=make)
    here.start()
    time.sleep(LATE_S + 5.0)
    for load in (here, there):
        load.stop()
    time.sleep(0.5)
    case.record.write(f"answers at a {here.statuses}, at b {there.statuses}")
    runs = [run for server in servers for run in server.runs]
    sent = {**here.sent, **there.sent}
    for at, name in sorted(runs):
        case.record.write(f"run of {name} at {at - began:.3f}")
    count, begins = support3.largest_window(sent, runs, WINDOW)
    return case.end(
        count > ALLOWED,
        f"{count} requests of the tenant in the {WINDOW:.0f} s from"
        f" {begins - began:.1f} s on, allowed are {ALLOWED:.0f}",
    )


def _keys(request):
    document = json.loads(request.body)
    return {row["key"] for row in document.get("writes", ())}


if __name__ == "__main__":
    sys.exit(main())
