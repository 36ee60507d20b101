"""Measures what control costs one node, and how fast changes spread."""

import collections
import dataclasses
import gc
import os
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
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes
from wigeonrouter.bench import _result_lines
from wigeonrouter.membership import _codec
from wigeonrouter.schema import settings_pb2

CHANGES_PER_DAY = 70_000
_DAY_S = 86_400
_LOOPBACK = core.Address(host="127.0.0.1", port=0)
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Services of one team share a parent, as operators' trees do.
_SERVICES_PER_TEAM = 20
_REPEATS = 100
_START_ATTEMPTS = 100
# Time for which the start of a daemon may still cost processor time.
_SETTLE_S = 5.0


@click.command()
@click.option("--sizes", default="3,10,30", show_default=True)
@click.option("--tables", default="20,100,400", show_default=True)
@click.option("--trees", default="170:1500,850:7500,1700:15000")
@click.option("--processes", default=3, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="per size")
@click.option("--seed", default=1, show_default=True)
def control(sizes, tables, trees, processes, seconds, seed):
    """Print processor time, memory, bytes and spreading time of control.

    Sizes are numbers of daemons that really call each other, tables are
    numbers of simulated members, and trees are services:upstreams. The last
    tree is loaded into daemons that are processes of their own.
    """
    for size in map(int, sizes.split(",")):
        measure_daemons(size, seconds, seed)
    for size in map(int, tables.split(",")):
        measure_table(size, seed)
    for tree in trees.split(","):
        # A process of its own, so that memory of an earlier size that was
        # not returned does not count.
        subprocess.run(
            [sys.executable, "-m", __name__, *tree.split(":")], check=True
        )
    measure_processes(processes, *map(int, tree.split(":")), seconds)


def emit(name, value, unit):
    """Print one result line."""
    _result_lines.write_line(
        name=name,
        value=value,
        unit=unit,
        bound=_result_lines.bound_of(name),
    )


def measure_daemons(size, seconds, seed):
    """Let daemons gossip while operators change settings.

    The changes of a day are as frequent as at the target size. Processor
    time covers both sides of all calls and the store stand-in.
    """
    store = standins.StoreStandin(address=_LOOPBACK)
    store.start()
    nodes = _in_process_daemons.InProcessDaemons(store.port)
    rng = random.Random(seed)
    try:
        fleet = nodes.start_fleet(
            [(f"r{n % 3}", f"{n % 2}") for n in range(size)]
        )
        for changes in (False, True):
            _measure_interval(fleet, store, rng, seconds, changes)
    finally:
        nodes.stop()
        store.stop()


def _measure_interval(fleet, store, rng, seconds, changes):
    size = len(fleet)
    kind = "busy" if changes else "idle"
    before = _sum_counts(fleet)
    calls = store.call_counts
    started, cpu = time.monotonic(), time.process_time()
    spreads = []
    if changes:
        ends = started + seconds
        while time.monotonic() < ends:
            spreads.append(_spread_one(fleet, rng))
            gevent.sleep(rng.expovariate(CHANGES_PER_DAY / _DAY_S))
    else:
        gevent.sleep(seconds)
    elapsed = time.monotonic() - started
    cpu = time.process_time() - cpu
    counts = _sum_counts(fleet)
    counts.subtract(before)
    name = f"daemons.{size}.{kind}"
    emit(f"{name}.cpu_per_node", 100 * cpu / elapsed / size, "% of a core")
    for direction in ("in", "out"):
        emit(
            f"{name}.bytes_{direction}_per_node",
            counts[f"bytes_{direction}"] / elapsed / size,
            "B/s",
        )
    emit(f"{name}.calls_per_node", counts["calls"] / elapsed / size, "1/s")
    emit(
        f"{name}.store_calls",
        (sum(store.call_counts.values()) - sum(calls.values())) / elapsed,
        "1/s",
    )
    if spreads:
        answers, lasts = zip(*spreads, strict=True)
        emit(f"{name}.accept_median", 1e3 * statistics.median(answers), "ms")
        emit(f"{name}.last_daemon_median", statistics.median(lasts), "s")
        emit(f"{name}.last_daemon_max", max(lasts), "s")
        emit(f"{name}.changes", len(spreads), "1")


def _sum_counts(fleet):
    counts = collections.Counter()
    for node in fleet:
        counts.update(node.gossip.counts)
    return counts


def _spread_one(fleet, rng):
    """Accept a change.

    Returns:
      A pair of seconds: until the operator's answer, and until the last
      daemon has the change, both from the call.
    """
    node = rng.choice(fleet)
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
    entry, _ = node.replication.accept(
        configuration.Proposal(
            change_id=f"{rng.getrandbits(64):x}",
            author="operator",
            base_revision=node.replica.revision,
            changes=(change,),
        )
    ).unwrap()
    answered = time.monotonic()
    while min(n.replica.revision for n in fleet) < entry.revision:
        gevent.sleep(0.002)
    return answered - started, time.monotonic() - started


def measure_table(size, seed):
    """Measure messages and tables of a fleet of simulated members."""
    members = [_member(number) for number in range(size)]
    tracemalloc.start()
    memory, _ = tracemalloc.get_traced_memory()
    table = membership.MemberTable(own=members[0])
    for member in members[1:]:
        table.merge(dataclasses.replace(member))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    name = f"table.{size}"
    emit(f"{name}.memory", (used - memory) / 1e6, "MB")
    records = [_codec.member_to_message(member) for member in members]
    emit(f"{name}.full", sum(r.ByteSize() for r in records) / 1e3, "kB")
    rng = random.Random(seed)
    updates = []

    def absorb():
        table.merge(_refuted(table.find(f"d{rng.randrange(1, size)}")))
        updates.append(len(table.take_updates()))
        return table.digest

    emit(f"{name}.change", 1e3 * _cpu_time(absorb), "ms")
    emit(f"{name}.sends_per_update", table.retransmit_limit, "1")


def _refuted(member):
    return dataclasses.replace(member, incarnation=member.incarnation + 1)


def _member(number):
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
    """Measure one replica of a tree in this process."""
    root = build_tree(services, upstreams)
    gc.collect()
    memory = resident_bytes()
    replica = configuration.Replica()
    snapshot = settings_pb2.Snapshot(revision=1, root=root)
    started = time.process_time()
    replica.load_snapshot(snapshot)
    name = f"tree.{services}.{upstreams}"
    emit(f"{name}.load", 1e3 * (time.process_time() - started), "ms")
    del snapshot
    gc.collect()
    emit(f"{name}.memory", (resident_bytes() - memory) / 1e6, "MB")
    emit(f"{name}.size", root.ByteSize() / 1e3, "kB")
    entries = _service_changes(root, services, _REPEATS)
    pending = iter(entries)
    cost = _cpu_time(lambda: replica.apply_entries((next(pending),)))
    emit(f"{name}.apply", 1e3 * cost, "ms")
    emit(
        f"{name}.entry",
        statistics.mean(entry.ByteSize() for entry in entries),
        "B",
    )
    check = _cpu_time(
        lambda: configuration.check_changes(
            replica=replica, changes=entries[0].changes
        )
    )
    emit(f"{name}.check", 1e3 * check, "ms")
    emit(
        f"{name}.cpu",
        100 * cost * CHANGES_PER_DAY / _DAY_S,
        "% of a core for applying a day's changes",
    )


def measure_processes(count, services, upstreams, seconds):
    """Measure whole daemon processes that serve no request."""
    with _processes.Fleet() as fleet:
        (store,) = _ports.free_addresses(1)
        ports = [_ports.free_ports(3) for _ in range(count)]
        fleet.start_store(store)
        client = store_api.open_store(
            name="tcp", address=core.parse_address(store), timeout=5.0
        )
        entry = settings_pb2.LogEntry(revision=1, change_id="tree")
        entry.changes.add(path="/", node=build_tree(services, upstreams))
        _write_first(client, entry)
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
        before = [_cpu_seconds(pid) for pid in pids]
        gevent.sleep(seconds)
        used = [
            _cpu_seconds(pid) - cpu
            for pid, cpu in zip(pids, before, strict=True)
        ]
        name = f"processes.{count}.{services}.{upstreams}"
        emit(f"{name}.cpu_max", 100 * max(used) / seconds, "% of a core")
        emit(f"{name}.memory_max", max(map(resident_bytes, pids)) / 1e6, "MB")


def _write_first(client, entry):
    """Write revision 1 once the store answers."""
    for _ in range(_START_ATTEMPTS):
        try:
            client.compare_and_swap(
                key=configuration.log_key(1),
                expected_version=0,
                value=entry.SerializeToString(),
            )
            return
        except store_api.StoreUnavailable:
            gevent.sleep(0.1)
    raise click.ClickException("the store stand-in does not answer")


def _cpu_seconds(pid):
    """Return the processor time of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    # Fields 14 and 15 of the whole line: user and system time.
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def build_tree(services, upstreams):
    """Return a settings_pb2.Node like that of a large deployment."""
    root = settings_pb2.Node()
    root.settings.limits.max_queue = 100
    placed = 0
    for number in range(services):
        team = root.children[f"team-{number // _SERVICES_PER_TEAM}"]
        service = team.children[f"service-{number}"].settings
        service.match.service_header = f"service-{number}"
        service.kinds["read"].idempotent = True
        service.kinds["read"].methods.append("GET")
        ends = (number + 1) * upstreams // services
        for index in range(placed, ends):
            server = service.groups["main"].servers[f"s{index}"]
            server.address = (
                f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:8080"
            )
            server.region = f"r{index % 8}"
            server.failure_domain = f"r{index % 8}-{index % 4}"
        placed = ends
    return root


def _service_changes(root, services, count):
    """Return the entries after revision 1 that change a service each."""
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
    for _ in range(_REPEATS):
        started = time.process_time()
        function()
        times.append(time.process_time() - started)
    return statistics.median(times)


def resident_bytes(pid="self"):
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


if __name__ == "__main__":
    measure_tree(int(sys.argv[1]), int(sys.argv[2]))
