"""Requests of a region that is cut off, passed on to removed machines."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support3  # noqa: E402

# Machines of the other region that were removed, each with SIGTERM.
REMOVED = 5
SERVICES = ("avail", "hold", "pay")
GRACE_S = 6.0
CUT_S = 12.0
STABLE_WINDOW_S = 3.0


def main():
    zones = ["za"] + ["zb"] * (1 + REMOVED)
    with support3.Case(FOLDER, nodes=len(zones), zones=zones) as case:
        return run(case)


def run(case):
    cut_node, other, *removed = case.nodes
    servers, links = [], []
    for number, service in enumerate(SERVICES * 2):
        server = support3.FastServer(
            case.record, instance=f"i-{number}", service=service, slots=8
        )
        link = support3.Link(server.address)
        cut_node.store.addresses[server.address] = link.address
        servers.append(server)
        links.append(link)
    case.configure(
        1,
        {
            f"r-{service}": support3.route(
                "a.example", f"/{service}/", service, timeout=2000
            )
            for service in SERVICES
        },
        SERVICES,
    )
    case.register(*servers)
    case.start()
    for node in removed:
        node.signal(signal.SIGTERM)
    time.sleep(GRACE_S + 1.0)
    for node in removed:
        code = node.poll()
        case.record.write(f"{node.host} is removed, it ended with {code}")

    def make(request_id):
        service = SERVICES[int(request_id.rpartition("-")[2]) % len(SERVICES)]
        return support3.request(
            "GET", f"/{service}/x", "a.example", request_id, deadline=2000
        )

    at_cut = support3.Load(case, cut_node, "cut", rate=30, make=make)
    at_other = support3.Load(case, other, "other", rate=30, make=make)
    for load in (at_cut, at_other):
        load.start()
    time.sleep(2.0)
    if case.trouble:
        case.record.write(f"{cut_node.host} is cut off from all servers")
        for link in links:
            link.close()
    time.sleep(STABLE_WINDOW_S)
    before = [dict(load.statuses) for load in (at_cut, at_other)]
    time.sleep(CUT_S - STABLE_WINDOW_S)
    for load in (at_cut, at_other):
        load.stop()
    time.sleep(0.5)
    shares, failed = [], 0
    for load, first in zip((at_cut, at_other), before):
        counts = {
            status: count - first.get(status, 0)
            for status, count in load.statuses.items()
        }
        total = sum(counts.values())
        shares.append(counts.get(200, 0) / total)
        failed = failed or total - counts.get(200, 0)
        case.record.write(f"answers {counts}")
    tries = sum(sum(load.statuses.values()) for load in (at_cut, at_other))
    broken = shares[0] < 2 / 3 * shares[1] and failed > 10 + tries / 50
    return case.end(
        broken,
        f"{shares[0]:.2f} of the tries at the machine that is cut off are"
        f" served, {shares[1]:.2f} at the other; {failed} fail of {tries}",
    )


if __name__ == "__main__":
    sys.exit(main())
