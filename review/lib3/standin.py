"""Runs the project's stand-in for the platform without its command line.

The build of the deploy file has no library for command lines.
"""

import argparse
import asyncio
import signal

import gangs

from catkinport.platform.standin.server import StandinServer
from catkinport.platform.standin.vms import FleetSize


def main() -> None:
    """Read the sizes from the command line and serve until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--vms", type=int, required=True)
    parser.add_argument("--cores", type=float, required=True)
    arguments = parser.parse_args()
    size = FleetSize(
        n_pools=1,
        n_vms=arguments.vms,
        n_spare_vms=0,
        cores=arguments.cores,
        move_seconds=1.5,
        upkeep_seconds=2.0,
        max_lease_seconds=10.0,
    )
    gangs.install()
    asyncio.run(serve(size))


async def serve(size: FleetSize) -> None:
    """Serve until SIGTERM."""
    server = StandinServer(size)
    await server.start()
    print(f"listening on {server.address}", flush=True)
    ticks = asyncio.ensure_future(server.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ticks.cancel)
    await asyncio.wait([ticks])
    await server.stop()


if __name__ == "__main__":
    main()
