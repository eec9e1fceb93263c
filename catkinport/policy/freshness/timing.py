"""Durations of the freshness rule."""

from typing import NamedTuple


class FreshnessTiming(NamedTuple):
    """Durations of the freshness rule, in seconds.

    Args:
        lease: length T of a lease.
        renewal: period of store reads, and of asking peers while the store is
            unreachable.
        liveness: period of asking peers while the store is reachable.
        max_store_read_age: age of the last store read beyond which the store counts
            as unreachable, so that peers are asked more often.
        report_silence: time without an answer after which a peer is reported to the
            other peers as silent.
        silence: time without an answer after which a peer is evicted, if at least
            half of the peers that answer report it as silent too.
        isolated_silence: time without an answer after which a peer is evicted by a
            member that hears fewer than half of its peers. It is longer than
            ``silence``, so that a member cut off from all its peers is evicted by
            them and does not evict them.
        without_store: longest time M that a lease lasts after the last store read.
        clock_margin: fraction by which the holder of a lease counts it shorter, and
            those that wait for its end count it longer, since clocks run at
            different rates.
    """

    lease: float = 2.0
    renewal: float = 0.5
    liveness: float = 2.0
    max_store_read_age: float = 1.0
    report_silence: float = 1.0
    silence: float = 5.0
    isolated_silence: float = 10.0
    without_store: float = 1800.0
    clock_margin: float = 0.02

    def minus_margin(self, seconds: float) -> float:
        """Return ``seconds`` less the clock margin, for the holder of a lease."""
        return seconds * (1 - self.clock_margin)

    def plus_margin(self, seconds: float) -> float:
        """Return ``seconds`` plus the clock margin, to wait until a lease ends."""
        return seconds * (1 + self.clock_margin)
