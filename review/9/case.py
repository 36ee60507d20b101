"""A tenant's quota when all processes are killed at the same moment."""

import pathlib
import random
import signal
import sys

import gevent

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support2  # noqa: E402

RATE, BURST = 20, 20
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
KEY = "key-of-acme"
CLIENTS = 16
# Mean pause of a client between two requests.
PAUSE_S = 0.15
CALM_S = 5.0
# From the rush of the tenant to the kill.
RUSH_S = 2.5
AFTER_S = 8.0
ZONES = {"za": "r1", "zb": "r1", "zc": "r1"}


def main(record):
    deployment = support2.Deployment(
        record=record,
        zones=ZONES,
        nodes=tuple(ZONES),
        bounds="quota_window=5s,quota_overage=0.1,quota_slack=20,"
        "revoke_strict=false,revoke=5000ms",
        contracts="base,drain,config,cost,retry,recover,health,tenants,quota,"
        "platform",
    )
    try:
        for number in range(6):
            deployment.add_backend(
                f"i-{number}", "papers", f"z{'abc'[number % 3]}", slots=4
            )
        deployment.configure(
            1,
            {"sheet": support2.route("sheet", "papers")},
            tenants={
                "acme": {
                    "name": "acme",
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": RATE,
                    "burst": BURST,
                }
            },
        )
        deployment.start()
        gevent.sleep(CALM_S)
        tasks = [gevent.spawn(rush, deployment, record)]
        gevent.sleep(RUSH_S)
        if support2.trouble():
            record.say("SIGKILL to all nodes")
            for node in deployment.nodes:
                node.send_signal(signal.SIGKILL)
        gevent.sleep(AFTER_S)
        gevent.killall(tasks)
        return check(deployment, record)
    finally:
        deployment.write_record()
        deployment.stop()


def rush(deployment, record):
    """Let the clients of the tenant send several times its limit."""
    record.say("the clients of the tenant begin")
    tasks = [
        gevent.spawn(
            call,
            deployment,
            random.choice(list(ZONES)),
            3 if number % 3 == 0 else 1,
        )
        for number in range(CLIENTS)
    ]
    try:
        gevent.joinall(tasks)
    finally:
        gevent.killall(tasks)


def call(deployment, zone, patience):
    """Send requests; come again after a refusal when it says."""
    client = support2.Client(deployment, zone, patience=patience)
    while True:
        gevent.sleep(random.expovariate(1 / PAUSE_S))
        node = client.choose()
        if node is None:
            continue
        attempt = deployment.send(node, "/sheet/1", key=KEY)
        if attempt.status in (429, 503):
            gevent.sleep(min(attempt.retry_after, 0.66))


def check(deployment, record):
    """Return whether some window has more runs than the quota allows."""
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    sent = {attempt.number: attempt for attempt in deployment.attempts}
    runs = sorted(
        (run.started, sent[number].node)
        for number, found in deployment.runs().items()
        for _, run in found
    )
    most, window = 0, ()
    first = 0
    for last, (at, _) in enumerate(runs):
        while runs[first][0] <= at - WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, window = last - first + 1, runs[first : last + 1]
    by_node = {}
    for _, node in window:
        by_node[node] = by_node.get(node, 0) + 1
    statuses = {}
    for attempt in deployment.attempts:
        statuses[attempt.status] = statuses.get(attempt.status, 0) + 1
    record.say(f"answers: {statuses}")
    record.say(
        f"most runs of the tenant in {WINDOW_S:g} s: {most}, allowed"
        f" {allowed:g}; by node {by_node}"
    )
    return most > allowed


support2.run_case(FOLDER, main)
