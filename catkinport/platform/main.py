"""Command that runs the daemon on the users' platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from ..runtime.logs import configure_logging
from ..settings.declaration import format_fault
from .settings import load_settings

SETTINGS_VARIABLE = "CATKINPORT_NODE_FILE"


def main() -> int:
    """Run the daemon and return the exit status, 2 if its settings have faults."""
    # By default SIGHUP ends a process. The daemon handles it from when it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/catkinport/settings.yaml"))
    settings = load_settings(path)
    if isinstance(settings, list):
        for fault in settings:
            print(format_fault(fault), file=sys.stderr)
        return 2
    configure_logging(
        log_format=settings.log_format, stream=sys.stdout, is_bounded=True
    )
    # The import takes most of the time of a start.
    from .daemon import PlatformDaemon

    asyncio.run(PlatformDaemon(settings, path).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
