"""Start of a process from its settings file."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import cappa

from ..runtime import configure_logging
from .declaration import Fault, format_fault
from .process import ControllerSettings, EntrySettings

Settings = TypeVar("Settings", EntrySettings, ControllerSettings)


def start_from_settings(
    load: Callable[[Path], Settings | list[Fault]], path: Path
) -> Settings:
    """Return the settings of a process, and set up its logs as they say.

    Args:
        load: returns the settings in a file, or all their faults.
        path: the settings file.

    Raises:
        cappa.Exit: with exit code 2 and all faults, if the settings have any.
    """
    settings = load(path)
    if isinstance(settings, list):
        text = "\n".join(format_fault(fault) for fault in settings)
        raise cappa.Exit(text, code=2)
    configure_logging(settings.logging.level, settings.logging.format)
    return settings
