"""Demonstration: two example deployments, three daemons and two regions."""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
from gevent import event  # noqa: E402
import geventhttpclient  # noqa: E402

from wigeonrouter import core  # noqa: E402
from wigeonrouter.bench import _callers  # noqa: E402
from wigeonrouter.bench import _processes  # noqa: E402

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
# The operator's actions take about 15 s.
_MAX_TRAFFIC_S = 90.0
_STORE = "127.0.0.1:20900"
# Name, region, failure domain and caller, admin and peer port.
_DAEMONS = (
    ("entry-north-1", "north", "north-a", (20000, 20001, 20002)),
    ("entry-north-2", "north", "north-b", (20010, 20011, 20012)),
    ("entry-isan-1", "isan", "isan-a", (20020, 20021, 20022)),
)
# Service, method, target, region of the callers and whether idempotent.
_TRAFFIC_CLASSES = (
    ("/carril-azul/availability", "GET", "/availability", "north", True),
    ("/carril-azul/holds", "POST", "/holds", "north", False),
    ("/carril-azul/payments", "POST", "/payments", "north", False),
    ("/sleeperhub/stock", "GET", "/stock", "isan", True),
    ("/sleeperhub/deposits", "POST", "/deposits", "isan", False),
    ("/sleeperhub/haulage", "POST", "/haulage", "isan", False),
)


@click.command()
@click.option("--callers", default=8, show_default=True, help="per class")
@click.option("--requests", default=100, show_default=True, help="per caller")
@click.option("--service-ms", default=5.0, show_default=True)
def main(callers, requests, service_ms):
    """Send all traffic classes through the daemons and print a table.

    Meanwhile a setting changes, a backend server is drained, and a daemon
    stops gracefully and starts again. The exit status is 0 only if no request
    was lost, got the response of another one or ran twice although it is not
    idempotent.
    """
    examples = {
        name: json.loads((_EXAMPLES / name / "settings.json").read_text())
        for name in ("carril-azul", "sleeperhub")
    }
    with _processes.Fleet() as fleet:
        addresses = _start_processes(fleet, examples, service_ms)
        results = _send_traffic(fleet, callers, requests, examples)
        executions = _count_executions(addresses)
    sys.exit(0 if _print_report(results, executions) else 1)


def _start_processes(fleet, examples, service_ms):
    fleet.start_store(_STORE)
    addresses = []
    for name, example in examples.items():
        service_addresses = [
            server["address"]
            for child in example["children"].values()
            for group in child["settings"]["groups"].values()
            for server in group["servers"].values()
        ]
        fleet.start_backends(
            f"backends-{name}", service_addresses, service_ms=service_ms
        )
        addresses += service_addresses
    for daemon_id, region, failure_domain, ports in _DAEMONS:
        fleet.start_daemon(
            daemon_id=daemon_id,
            place=core.Place(region=region, failure_domain=failure_domain),
            ports=ports,
            store=_STORE,
            seeds=[f"127.0.0.1:{_DAEMONS[0][3][2]}"],
            entry_ttl_ms=1000,
        )
    for name in examples:
        _processes.run_cli(
            "apply",
            f"/{name}",
            str(_EXAMPLES / name / "settings.json"),
            server=f"127.0.0.1:{_DAEMONS[0][3][1]}",
        )
    gevent.sleep(2)
    return addresses


def _send_traffic(fleet, callers, requests, examples):
    done = event.Event()
    results = [
        _callers.TrafficClassResult(
            traffic=_callers.TrafficClass(
                service=service,
                method=method,
                target=target,
                region=region,
                idempotent=idempotent,
            )
        )
        for service, method, target, region, idempotent in _TRAFFIC_CLASSES
    ]
    tasks = [
        gevent.spawn(
            _send_requests,
            _callers.Caller(
                name=f"{result.traffic.target[1:]}-{number}",
                traffic=result.traffic,
                admin_addresses=_admin_addresses(result.traffic.region),
            ),
            result,
            requests,
            done,
        )
        for result in results
        for number in range(callers)
    ]
    operator = gevent.spawn(_run_operator_actions, fleet, examples)
    operator.link(lambda _: done.set())
    gevent.joinall(tasks, raise_error=True)
    operator.get()
    return results


def _admin_addresses(region):
    """Return the daemons' administration addresses, the region's first."""
    ordered = sorted(_DAEMONS, key=lambda daemon: daemon[1] != region)
    return [core.Address(host="127.0.0.1", port=d[3][1]) for d in ordered]


def _send_requests(caller, result, requests, done):
    """Send a minimum of requests and continue until the operator is done."""
    deadline = time.monotonic() + _MAX_TRAFFIC_S
    sent = 0
    while sent < requests or not done.is_set():
        if time.monotonic() > deadline:
            raise click.ClickException(
                "callers did not finish within the time limit"
            )
        caller.send(result)
        sent += 1


def _run_operator_actions(fleet, examples):
    """Change settings, drain a backend server and restart a daemon."""
    gevent.sleep(0.3)
    _change_settings(examples)
    gevent.sleep(0.5)
    deposits = examples["sleeperhub"]["children"]["deposits"]["settings"]
    drained = next(iter(deposits["groups"]["deposits"]["servers"].values()))
    _processes.run_cli(
        "drain", drained["address"], server=f"127.0.0.1:{_DAEMONS[1][3][1]}"
    )
    gevent.sleep(0.5)
    restarted = _DAEMONS[0][0]
    fleet.send_signal(restarted, signal.SIGTERM)
    exit_code = fleet.wait(restarted)
    if exit_code:
        raise click.ClickException(
            f"{restarted} exited with status {exit_code}"
        )
    fleet.restart_daemon(restarted)
    gevent.sleep(1)


def _change_settings(examples):
    changed = json.loads(json.dumps(examples["carril-azul"]))
    changed["settings"]["limits"]["default_timeout_ms"] = 2500
    holds = changed["children"]["holds"]["settings"]["groups"]["holds"]
    holds["servers"]["holds-01"]["state"] = "draining"
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(changed, file)
        file.flush()
        _processes.run_cli(
            "apply",
            "/carril-azul",
            file.name,
            server=f"127.0.0.1:{_DAEMONS[2][3][1]}",
        )


def _count_executions(addresses):
    executions = collections.Counter()
    for address in addresses:
        host, _, port = address.rpartition(":")
        client = geventhttpclient.HTTPClient(host, int(port))
        executions.update(json.loads(client.get("/_runs").read()))
        client.close()
    return executions


def _print_report(results, executions):
    click.echo(
        f"{'class':28}{'sent':>7}{'in time':>9}{'not-run':>9}{'unknown':>9}"
        f"{'runs > 1':>10}{'p50 ms':>9}{'p99 ms':>9}{'p99.9':>9}"
    )
    passed = True
    for result in results:
        repeated = sum(
            executions[request_id] > 1 for request_id in result.outcome_by_id
        )
        disallowed_repeats = 0 if result.traffic.idempotent else repeated
        false_refusals = sum(
            outcome == "not-run" and executions[request_id] > 0
            for request_id, outcome in result.outcome_by_id.items()
        )
        never_run = sum(
            outcome == "ok" and executions[request_id] == 0
            for request_id, outcome in result.outcome_by_id.items()
        )
        expected_outcomes = {"ok", "not-run"}
        lost = sum(
            count
            for outcome, count in result.outcomes.items()
            if outcome not in expected_outcomes
        )
        click.echo(
            f"{result.traffic.service:28}{result.sent:7}"
            f"{result.outcomes['ok']:9}{result.outcomes['not-run']:9}"
            f"{result.outcomes['unknown']:9}{repeated:10}"
            + "".join(
                f"{result.percentile_ms(percent):9.2f}"
                for percent in (50, 99, 99.9)
            )
        )
        violations = {
            "crossed": result.mismatched,
            "doubled": disallowed_repeats,
            "refused although run": false_refusals,
            "answered although not run": never_run,
            "lost": lost,
        }
        for name, count in violations.items():
            if count:
                click.echo(f"  {name}: {count} {dict(result.outcomes)}")
                passed = False
    return passed


if __name__ == "__main__":
    main()
