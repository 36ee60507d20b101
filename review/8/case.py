"""Requests with withdrawn and unknown keys after the last tenant is removed."""

import pathlib
import sys
import time

import gevent

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support2  # noqa: E402

ZONES = {"za": "r1", "zb": "r1"}
CONFIG_APPLY_S = 2.5
KEY, UNKNOWN = "key-of-acme", "key-of-nobody"


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
    routes = {"mark": support2.route("mark", "gradebook", "unsafe")}
    try:
        for number in range(4):
            deployment.add_backend(
                f"i-{number}", "gradebook", list(ZONES)[number % 2]
            )
        deployment.configure(
            1,
            routes,
            tenants={
                "acme": {"name": "acme", "api_keys": [KEY], "priority": 1}
            },
        )
        deployment.start()
        gevent.sleep(2.0)
        send(deployment, 2.0)
        acknowledged = time.monotonic()
        if support2.trouble():
            record.say("the last tenant is removed")
            deployment.configure(2, routes, tenants={})
        gevent.sleep(CONFIG_APPLY_S + 0.5)
        judged_from = acknowledged + CONFIG_APPLY_S
        send(deployment, 3.0)
        return check(deployment, record, judged_from)
    finally:
        deployment.write_record()
        deployment.stop()


def send(deployment, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for node in deployment.nodes:
            for key in (KEY, UNKNOWN):
                deployment.send(
                    node, "/mark/1", method="POST", key=key, body=b"5"
                )
        gevent.sleep(0.2)


def check(deployment, record, judged_from):
    runs = deployment.runs()
    broken = False
    for name, key, allowed in (
        ("withdrawn key", KEY, not support2.trouble()),
        ("key that was never held", UNKNOWN, False),
    ):
        attempts = [a for a in deployment.attempts if a.key == key]
        later = [a for a in attempts if a.sent > judged_from]
        run = [a for a in later if runs.get(a.number)]
        passed_on = [
            a
            for a in later
            for _, one in runs.get(a.number, ())
            if any(header == b"key" for header, _ in one.headers)
        ]
        record.say(
            f"{name}: {len(later)} requests, statuses"
            f" {sorted({a.status for a in later})}, {len(run)} run,"
            f" {len(passed_on)} with the key passed on"
        )
        broken = broken or (bool(run) and not allowed) or bool(passed_on)
    return broken


support2.run_case(FOLDER, main)
