"""Entry point of ``catkin-standin-fleet``."""

import asyncio
import signal
from typing import Annotated

import cappa

from ...runtime import configure_logging
from .server import StandinServer
from .vms import MAX_LEASE_SECONDS, FleetSize


@cappa.command(name="catkin-standin-fleet")
class StandinCommand:
    """Run a stand-in for the platform until SIGTERM or SIGINT."""

    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    pools: Annotated[int, cappa.Arg(long=True)] = 2
    vms: Annotated[int, cappa.Arg(long=True)] = 4
    spare_vms: Annotated[int, cappa.Arg(long=True)] = 2
    cores: Annotated[float, cappa.Arg(long=True, help="cores of each VM")] = 16.0
    move_seconds: Annotated[
        float, cappa.Arg(long=True, help="time that a move of a VM takes")
    ] = 0.0
    upkeep_seconds: Annotated[
        float, cappa.Arg(long=True, help="time that the upkeep of a VM takes")
    ] = 0.0
    zones: Annotated[int, cappa.Arg(long=True, help="availability zones")] = 1
    max_lease_seconds: Annotated[
        float, cappa.Arg(long=True, help="longest lease that a worker grants")
    ] = MAX_LEASE_SECONDS

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        configure_logging()
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        size = FleetSize(
            self.pools,
            self.vms,
            self.spare_vms,
            self.cores,
            self.move_seconds,
            self.upkeep_seconds,
            self.zones,
            self.max_lease_seconds,
        )
        server = StandinServer(size, self.seed, self.host, self.port)
        await server.start()
        print(f"listening on {server.address}", flush=True)
        ticks = asyncio.ensure_future(server.run())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ticks.cancel)
        await asyncio.wait([ticks])
        await server.stop()
        if not ticks.cancelled():
            ticks.result()


def main() -> None:
    """Parse the command line and run the stand-in."""
    cappa.invoke(StandinCommand)


if __name__ == "__main__":
    main()
