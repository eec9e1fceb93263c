"""Clock of the daemons."""

import time


class BootTimeClock:
    """Clock of the seconds since boot, including the time that the VM is suspended.

    By a clock that stops during the suspension, a lease that has expired would still
    look valid after the VM resumes.
    """

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for ``seconds``."""
        time.sleep(seconds)
