"""Entry point of ``catkin-entry``."""

import logging
from pathlib import Path
from typing import Annotated

import cappa

from ..runtime import StopSignal, log_event
from ..settings.process import load_entry_settings
from ..settings.startup import start_from_settings
from .daemon import EntryDaemon

logger = logging.getLogger(__name__)


@cappa.command(name="catkin-entry")
class EntryCommand:
    """Take callers' requests and jobs, and serve the administration API."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="INI file with the settings of the process")
    ]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT, then drain the requests in flight and stop."""
        settings = start_from_settings(load_entry_settings, self.settings)
        stop_signal = StopSignal()
        daemon = EntryDaemon(settings)
        print(f"admin listening on {daemon.admin_address}", flush=True)
        print(f"listening on {daemon.address}", flush=True)
        log_event(
            logger,
            "entry started",
            peer=daemon.address,
            admin_address=daemon.admin_address,
        )
        stop_signal.wait()
        daemon.stop()
        log_event(logger, "entry stopped")


def main() -> None:
    """Run the entry with the settings that the command line names."""
    cappa.invoke(EntryCommand)


if __name__ == "__main__":
    main()
