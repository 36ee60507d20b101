"""Measures control-plane overhead per daemon and propagation of changes."""

import collections
import dataclasses
import gc
import random
import statistics
import subprocess
import sys
import time
import tracemalloc

import click
import gevent

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import membership
from wigeonrouter import settings
from wigeonrouter import standins
from wigeonrouter import store as store_api
from wigeonrouter.bench import _in_process_daemons
from wigeonrouter.bench import _measuring
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes
from wigeonrouter.bench import _result_lines
from wigeonrouter.membership import _codec
from wigeonrouter.schema import settings_pb2

# Changes of operators at the target size.
CHANGES_PER_DAY = 70_000
_DAY_S = 86_400
_LOOPBACK = core.Address(host="127.0.0.1", port=0)
# Services of one team share a parent, as in the settings of operators.
_SERVICES_PER_TEAM = 20
_REPEAT_COUNT = 100
_MAX_WRITE_ATTEMPTS = 100
# Time during which a new daemon may still use processor time for its start.
_SETTLE_S = 5.0


@click.command()
@click.option("--sizes", default="3,10,30", show_default=True)
@click.option("--tables", default="20,100,400", show_default=True)
@click.option("--trees", default="170:1500,850:7500,1700:15000")
@click.option("--processes", default=3, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="per size")
@click.option("--seed", default=1, show_default=True)
def control(sizes, tables, trees, processes, seconds, seed):
    """Print control-plane processor time, memory, traffic and propagation.

    Sizes are numbers of daemons that run in one process and call each other.
    Tables are numbers of simulated members. Trees are services:upstreams,
    where upstreams are backend servers. The last tree is loaded into daemons
    that run as separate processes.
    """
    for size in map(int, sizes.split(",")):
        measure_daemons(size, seconds, seed)
    for size in map(int, tables.split(",")):
        measure_table(size, seed)
    for tree in trees.split(","):
        # Runs in a separate process, so that memory that the allocator
        # retains from an earlier size is not counted.
        subprocess.run(
            [sys.executable, "-m", __name__, *tree.split(":")], check=True
        )
    measure_processes(processes, *map(int, tree.split(":")), seconds)


def print_result(name, value, unit):
    """Print one result line with the bound of its name."""
    _result_lines.write_line(
        name=name,
        value=value,
        unit=unit,
        bound=_result_lines.bound_of(name),
    )


def measure_daemons(size, seconds, seed):
    """Measure gossip without and with settings changes by operators.

    Changes arrive at the mean rate of a deployment of the target size.
    Processor time includes both sides of all calls and the store stand-in.
    """
    store = standins.StoreStandin(address=_LOOPBACK)
    store.start()
    daemons = _in_process_daemons.InProcessDaemons(store.port)
    rng = random.Random(seed)
    try:
        fleet = daemons.start_fleet(
            [(f"r{n % 3}", f"{n % 2}") for n in range(size)]
        )
        for changes in (False, True):
            _measure_interval(fleet, store, rng, seconds, changes)
    finally:
        daemons.stop()
        store.stop()


def _measure_interval(fleet, store, rng, seconds, changes):
    size = len(fleet)
    kind = "busy" if changes else "idle"
    before = _sum_counts(fleet)
    calls = store.call_counts
    started, cpu = time.monotonic(), time.process_time()
    propagation_times = []
    if changes:
        deadline = started + seconds
        while time.monotonic() < deadline:
            propagation_times.append(_measure_propagation(fleet, rng))
            gevent.sleep(rng.expovariate(CHANGES_PER_DAY / _DAY_S))
    else:
        gevent.sleep(seconds)
    elapsed = time.monotonic() - started
    cpu = time.process_time() - cpu
    counts = _sum_counts(fleet)
    counts.subtract(before)
    name = f"daemons.{size}.{kind}"
    print_result(
        f"{name}.cpu_per_node", 100 * cpu / elapsed / size, "% of a core"
    )
    for direction in ("in", "out"):
        print_result(
            f"{name}.bytes_{direction}_per_node",
            counts[f"bytes_{direction}"] / elapsed / size,
            "B/s",
        )
    print_result(
        f"{name}.calls_per_node", counts["calls"] / elapsed / size, "1/s"
    )
    print_result(
        f"{name}.store_calls",
        (sum(store.call_counts.values()) - sum(calls.values())) / elapsed,
        "1/s",
    )
    if propagation_times:
        accept_times, last_daemon_times = zip(*propagation_times, strict=True)
        print_result(
            f"{name}.accept_median",
            1e3 * statistics.median(accept_times),
            "ms",
        )
        print_result(
            f"{name}.last_daemon_median",
            statistics.median(last_daemon_times),
            "s",
        )
        print_result(f"{name}.last_daemon_max", max(last_daemon_times), "s")
        print_result(f"{name}.changes", len(propagation_times), "1")


def _sum_counts(fleet):
    counts = collections.Counter()
    for daemon in fleet:
        counts.update(daemon.gossip.counts)
    return counts


def _measure_propagation(fleet, rng):
    """Accept one change and wait until all daemons have it.

    Returns:
      A pair of seconds since the call: until the operator's response, and
      until the last daemon has the change.
    """
    daemon = rng.choice(fleet)
    changed = settings_pb2.Settings()
    changed.match.service_header = f"s{rng.randrange(100)}"
    for number in range(9):
        server = changed.groups["main"].servers[f"b{number}"]
        server.address = f"127.0.0.1:{rng.randrange(1000, 60000) + number}"
        server.region = server.failure_domain = "r0"
    change = settings_pb2.Change(
        path=f"/{changed.match.service_header}", settings=changed
    )
    started = time.monotonic()
    entry, _ = daemon.replication.accept(
        configuration.Proposal(
            change_id=f"{rng.getrandbits(64):x}",
            author="operator",
            base_revision=daemon.replica.revision,
            changes=(change,),
        )
    ).unwrap()
    answered = time.monotonic()
    while min(n.replica.revision for n in fleet) < entry.revision:
        gevent.sleep(0.002)
    return answered - started, time.monotonic() - started


def measure_table(size, seed):
    """Measure the member table and messages for some simulated members."""
    members = [_make_member(number) for number in range(size)]
    tracemalloc.start()
    memory, _ = tracemalloc.get_traced_memory()
    table = membership.MemberTable(own=members[0])
    for member in members[1:]:
        table.merge(dataclasses.replace(member))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    name = f"table.{size}"
    print_result(f"{name}.memory", (used - memory) / 1e6, "MB")
    records = [_codec.member_to_message(member) for member in members]
    print_result(
        f"{name}.full", sum(r.ByteSize() for r in records) / 1e3, "kB"
    )
    rng = random.Random(seed)
    updates = []

    def apply_update():
        table.merge(
            _with_next_incarnation(table.find(f"d{rng.randrange(1, size)}"))
        )
        updates.append(len(table.take_updates()))
        return table.digest

    print_result(f"{name}.change", 1e3 * _cpu_time(apply_update), "ms")
    print_result(f"{name}.sends_per_update", table.retransmit_limit, "1")


def _with_next_incarnation(member):
    return dataclasses.replace(member, incarnation=member.incarnation + 1)


def _make_member(number):
    address = core.Address(host="10.1.2.3", port=1000 + number)
    region = f"r{number % 8}"
    return core.Member(
        daemon_id=f"d{number}",
        incarnation=1_700_000_000_000,
        instance=1_700_000_000_000,
        state=core.MemberState.ALIVE,
        place=core.Place(
            region=region, failure_domain=f"{region}-{number % 4}"
        ),
        caller_address=address,
        admin_address=address,
        peer_address=address,
    )


def measure_tree(services, upstreams):
    """Measure a replica of a settings tree in this process."""
    root = build_tree(services, upstreams)
    gc.collect()
    memory = _measuring.resident_bytes()
    replica = configuration.Replica()
    snapshot = settings_pb2.Snapshot(revision=1, root=root)
    started = time.process_time()
    replica.load_snapshot(snapshot)
    name = f"tree.{services}.{upstreams}"
    print_result(f"{name}.load", 1e3 * (time.process_time() - started), "ms")
    del snapshot
    gc.collect()
    print_result(
        f"{name}.memory", (_measuring.resident_bytes() - memory) / 1e6, "MB"
    )
    print_result(f"{name}.size", root.ByteSize() / 1e3, "kB")
    entries = _make_service_changes(root, services, _REPEAT_COUNT)
    pending = iter(entries)
    cost = _cpu_time(lambda: replica.apply_entries((next(pending),)))
    print_result(f"{name}.apply", 1e3 * cost, "ms")
    print_result(
        f"{name}.entry",
        statistics.mean(entry.ByteSize() for entry in entries),
        "B",
    )
    check = _cpu_time(
        lambda: configuration.check_changes(
            replica=replica, changes=entries[0].changes
        )
    )
    print_result(f"{name}.check", 1e3 * check, "ms")
    print_result(
        f"{name}.cpu",
        100 * cost * CHANGES_PER_DAY / _DAY_S,
        "% of a core for applying a day's changes",
    )


def measure_processes(count, services, upstreams, seconds):
    """Measure idle daemon processes."""
    with _processes.Fleet() as fleet:
        (store,) = _ports.free_addresses(1)
        ports = [_ports.free_ports(3) for _ in range(count)]
        fleet.start_store(store)
        client = store_api.open_store(
            name="tcp", address=core.parse_address(store), timeout=5.0
        )
        entry = settings_pb2.LogEntry(revision=1, change_id="tree")
        entry.changes.add(path="/", node=build_tree(services, upstreams))
        _write_first_entry(client, entry)
        for number in range(count):
            fleet.start_daemon(
                daemon_id=f"d{number}",
                place=core.Place(
                    region="r0", failure_domain=f"r0-{number % 2}"
                ),
                ports=ports[number],
                store=store,
                seeds=[f"127.0.0.1:{ports[0][2]}"],
            )
        gevent.sleep(_SETTLE_S)
        pids = [fleet.pid(f"d{number}") for number in range(count)]
        before = [_measuring.process_cpu_seconds(pid) for pid in pids]
        gevent.sleep(seconds)
        used = [
            _measuring.process_cpu_seconds(pid) - cpu
            for pid, cpu in zip(pids, before, strict=True)
        ]
        name = f"processes.{count}.{services}.{upstreams}"
        print_result(
            f"{name}.cpu_max", 100 * max(used) / seconds, "% of a core"
        )
        print_result(
            f"{name}.memory_max",
            max(map(_measuring.resident_bytes, pids)) / 1e6,
            "MB",
        )


def _write_first_entry(client, entry):
    """Write revision 1, retrying until the store is available."""
    for _ in range(_MAX_WRITE_ATTEMPTS):
        try:
            client.compare_and_swap(
                key=configuration.log_key(1),
                expected_version=0,
                value=entry.SerializeToString(),
            )
            return
        except store_api.StoreUnavailable:
            gevent.sleep(0.1)
    raise click.ClickException("store stand-in is unavailable")


def build_tree(services, upstreams):
    """Return a settings_pb2.Node that resembles a large deployment."""
    root = settings_pb2.Node()
    root.settings.limits.max_queue = 100
    first_index = 0
    for number in range(services):
        team = root.children[f"team-{number // _SERVICES_PER_TEAM}"]
        service = team.children[f"service-{number}"].settings
        service.match.service_header = f"service-{number}"
        service.kinds["read"].idempotent = True
        service.kinds["read"].methods.append("GET")
        end_index = (number + 1) * upstreams // services
        for index in range(first_index, end_index):
            server = service.groups["main"].servers[f"s{index}"]
            server.address = (
                f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:8080"
            )
            server.region = f"r{index % 8}"
            server.failure_domain = f"r{index % 8}-{index % 4}"
        first_index = end_index
    return root


def _make_service_changes(root, services, count):
    """Return log entries from revision 2 on that each change one service."""
    entries = []
    for number in range(count):
        chosen = number * 7 % services
        path = f"/team-{chosen // _SERVICES_PER_TEAM}/service-{chosen}"
        entry = settings_pb2.LogEntry(
            revision=2 + number, change_id=f"{number}", author="operator"
        )
        node = settings.find_node(root=root, path=path)
        change = entry.changes.add(path=path, node=node)
        change.node.settings.limits.max_queue = number
        entries.append(entry)
    return entries


def _cpu_time(function):
    """Return the median processor time of a call in seconds."""
    times = []
    for _ in range(_REPEAT_COUNT):
        started = time.process_time()
        function()
        times.append(time.process_time() - started)
    return statistics.median(times)


if __name__ == "__main__":
    measure_tree(int(sys.argv[1]), int(sys.argv[2]))
