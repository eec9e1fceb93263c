"""Processor time, memory and traffic of membership for each daemon.

Starts one process per member with the platform stand-in on loopback and measures an
idle period, with a configuration document of the size that the design targets. Traffic
is the TCP payload in both directions on the member's connections, without headers.

Run ``python -m benchmarks.membership_cost --members 9 18``.
"""

import argparse
import multiprocessing
import os
import resource
import socket
import statistics
import struct
import time
from typing import Any, NamedTuple

from catkinport.adapters import HttpClient, HttpTable
from catkinport.membership import MembershipSettings, start_membership
from catkinport.runtime import BootTimeClock
from catkinport.settings.environment import Environment, Maintenance
from catkinport.standins.platform import PlatformStandin

DOCUMENT_BYTES = 24_000
MEASURED_SECONDS = 10.0
# struct tcp_info of Linux: tcpi_bytes_acked and tcpi_bytes_received.
_TCP_INFO_BYTES = struct.Struct("<QQ")
_TCP_INFO_OFFSET = 120


class Cost(NamedTuple):
    """Cost of one member: CPU in cores, traffic in bytes per second, memory in MB."""

    cpu_share: float
    sent_per_second: float
    received_per_second: float
    resident_mb: float


def _parse(document: str) -> Environment:
    return Environment({}, {}, {}, {}, {}, {}, {}, Maintenance(56.0, 60.0, 60.0))


def _count_tcp_bytes() -> tuple[int, int]:
    """Return the bytes that this process's open connections sent and received."""
    sent = received = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            with socket.socket(fileno=os.dup(int(name))) as connection:
                info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
        except OSError:
            continue
        if len(info) >= _TCP_INFO_OFFSET + _TCP_INFO_BYTES.size:
            acked, received_here = _TCP_INFO_BYTES.unpack_from(info, _TCP_INFO_OFFSET)
            sent, received = sent + acked, received + received_here
    return sent, received


def _run_member(address: str, n_members: int, costs: Any, start: Any, end: Any) -> None:
    table = HttpTable(HttpClient(address))
    settings = MembershipSettings(
        "entry", "zone-a", "127.0.0.1", 0, "127.0.0.1:1", b"cluster key of a benchmark"
    )
    membership = start_membership(settings, table, BootTimeClock(), _parse)
    while len(membership.snapshot().member_by_id) < n_members:
        time.sleep(0.05)
    start.wait()
    cpu, (sent, received) = time.process_time(), _count_tcp_bytes()
    time.sleep(MEASURED_SECONDS)
    cpu, (sent_after, received_after) = time.process_time() - cpu, _count_tcp_bytes()
    resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    costs.put(
        Cost(
            cpu / MEASURED_SECONDS,
            (sent_after - sent) / MEASURED_SECONDS,
            (received_after - received) / MEASURED_SECONDS,
            resident_kb / 1024,
        )
    )
    end.wait()
    membership.stop()


def measure(n_members: int) -> tuple[list[Cost], list[float]]:
    """Return the cost of each member and the seconds until each change is in force."""
    context = multiprocessing.get_context("spawn")
    platform = PlatformStandin()
    platform.start()
    costs, start, end = context.Queue(), context.Event(), context.Event()
    arguments = (platform.address, n_members + 1, costs, start, end)
    members = [
        context.Process(target=_run_member, args=arguments, daemon=True)
        for _ in range(n_members)
    ]
    for member in members:
        member.start()
    controller = _start_controller(platform.address)
    in_force_seconds = _accept_changes(controller, n_members + 1)
    start.set()
    measured = [costs.get(timeout=60) for _ in members]
    end.set()
    controller.leave()
    for member in members:
        member.join(10)
    platform.stop()
    return measured, in_force_seconds


def _start_controller(address: str) -> Any:
    settings = MembershipSettings(
        "controller", "zone-a", "127.0.0.1", 0, "", b"cluster key of a benchmark"
    )
    table = HttpTable(HttpClient(address))
    return start_membership(settings, table, BootTimeClock(), _parse)


def _accept_changes(controller: Any, n_members: int) -> list[float]:
    deadline = time.monotonic() + 60
    while len(controller.snapshot().member_by_id) < n_members:
        if time.monotonic() > deadline:
            raise TimeoutError("members did not register in 60 s")
        time.sleep(0.05)
    time.sleep(3.0)
    seconds = []
    for revision in range(5):
        document = f"{revision:06d}" + "x" * DOCUMENT_BYTES
        outcome = controller.accept_document(document, revision, f"c-{revision}", "o")
        seconds.append(outcome.seconds_until_in_force)
    return seconds


def main() -> None:
    """Print one line for each number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[9, 18])
    arguments = parser.parse_args()
    print(f"idle for {MEASURED_SECONDS:.0f} s, document of {DOCUMENT_BYTES} bytes")
    for n_members in arguments.members:
        costs, in_force_seconds = measure(n_members - 1)
        mean = [statistics.mean(column) for column in zip(*costs, strict=True)]
        print(
            f"{n_members} members: CPU {100 * mean[0]:.2f}% of a core, "
            f"sent {mean[1] / 1000:.2f} KB/s, received {mean[2] / 1000:.2f} KB/s, "
            f"resident {mean[3]:.1f} MB; change in force after "
            f"{1000 * statistics.median(in_force_seconds):.0f} ms (median of 5, "
            f"max {1000 * max(in_force_seconds):.0f} ms)",
            flush=True,
        )


if __name__ == "__main__":
    main()
