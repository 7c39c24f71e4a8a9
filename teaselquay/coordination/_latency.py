"""Estimate of how long the work of a service takes."""

from dataclasses import dataclass
from math import inf

#: Weights of a new latency in the mean and in the deviation, and the deviations
#: above the mean within which a latency is likely, all as in RFC 6298.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_LIKELY_DEVIATIONS = 4


@dataclass(slots=True)
class LatencyEstimate:
    """Running mean and mean deviation of latencies, both in seconds.

    They follow recent latencies within some dozen of them.

    >>> estimate = LatencyEstimate()
    >>> estimate.likely_s()
    inf
    >>> estimate.record(2.0)
    >>> estimate.likely_s()
    6.0
    """

    mean_s: float = 0.0
    deviation_s: float = inf

    def record(self, latency_s: float) -> None:
        """Record the latency of a request that was served."""
        if self.deviation_s == inf:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 2
            return
        difference_s = latency_s - self.mean_s
        self.deviation_s += _DEVIATION_WEIGHT * (
            abs(difference_s) - self.deviation_s
        )
        self.mean_s += _MEAN_WEIGHT * difference_s

    def likely_s(self) -> float:
        """Return the seconds within which most requests are processed.

        Before the first latency, nothing is known, and it is infinite.
        """
        return self.mean_s + _LIKELY_DEVIATIONS * self.deviation_s
