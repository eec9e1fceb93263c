"""Entry point of ``catkin-controller``."""

import logging
from pathlib import Path
from typing import Annotated

import cappa

from ..runtime import StopSignal, log_event
from ..settings.process import load_controller_settings
from ..settings.startup import start_from_settings
from .daemon import ControllerDaemon

logger = logging.getLogger(__name__)


@cappa.command(name="catkin-controller")
class ControllerCommand:
    """Own pools: place jobs, renew task leases, and drain, move and maintain VMs."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="INI file with the settings of the process")
    ]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT, then release the pools and stop."""
        settings = start_from_settings(load_controller_settings, self.settings)
        stop_signal = StopSignal()
        daemon = ControllerDaemon(settings)
        print(f"admin listening on {daemon.admin_address}", flush=True)
        log_event(logger, "controller started", peer=daemon.admin_address)
        stop_signal.wait()
        daemon.stop()
        log_event(logger, "controller stopped")


def main() -> None:
    """Run the controller with the settings that the command line names."""
    cappa.invoke(ControllerCommand)


if __name__ == "__main__":
    main()
