"""The clock of the daemons."""

import time


class BootTimeClock:
    """Seconds since boot, counted on while the VM is suspended.

    A lease that rests on a clock that stops with the VM would still look valid
    after the VM resumes.
    """

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for ``seconds``."""
        time.sleep(seconds)
