"""How far requests of each priority may queue at upstreams."""

from dataclasses import dataclass, field

from teaselquay.coordination._placement import ALL_PRIORITIES
from teaselquay.decisions import Instant

#: Queue length of an upstream, in multiples of its slots, beyond which it
#: sheds requests.
MAX_QUEUE_PER_SLOT = 3.0
#: Share of the urgent requests that may lack room before less urgent ones give
#: way, as callers allow.
_TOLERATED_SHARE = 0.05
#: Change of a shortage for each urgent request. Some tens of requests close
#: the queues to less urgent ones.
_GAIN = 0.1
#: Time in seconds in which a complete shortage ends if no urgent request comes.
_REGROWTH_S = 2.0
#: Shortage from which less urgent requests do not queue at all.
_CLOSED = 0.9


@dataclass(frozen=True, slots=True)
class _Shortage:
    level: float
    as_of: Instant

    def at(self, now: Instant) -> float:
        return max(0, self.level - max(0, now - self.as_of) / _REGROWTH_S)


@dataclass(slots=True)
class QueueRoom:
    """Parts of the upstreams' queues that are open to each priority.

    Load pattern: more requests than the slots can process. Queues are served
    in the order of arrival, so that an urgent request behind many others is
    late. Less urgent requests then use free slots only, until few of the
    more urgent ones lack room. An urgent request lacks room if it would be
    late at the best upstream, or if that one is suspected of failing.
    """

    _shortages: dict[int, _Shortage] = field(default_factory=dict)

    def record(self, priority: int, lacks_room: bool, now: Instant) -> None:
        """Record whether a request of `priority` lacked room."""
        shortage = self._shortages.get(priority)
        level = 0.0 if shortage is None else shortage.at(now)
        level += _GAIN * (lacks_room - _TOLERATED_SHARE)
        if level > 0:
            self._shortages[priority] = _Shortage(min(1, level), now)
        else:
            self._shortages.pop(priority, None)

    def per_slot(self, priority: int, now: Instant) -> float:
        """Return the queue length per slot that is open to `priority`."""
        shortage = max(
            (
                known.at(now)
                for urgent, known in self._shortages.items()
                if urgent < priority
            ),
            default=0,
        )
        if shortage > _CLOSED:
            return 0
        return MAX_QUEUE_PER_SLOT * (1 - shortage)

    def least_urgent(self, now: Instant) -> int:
        """Return the least urgent priority that may queue."""
        return min(
            (
                urgent
                for urgent, known in self._shortages.items()
                if known.at(now) > _CLOSED
            ),
            default=ALL_PRIORITIES,
        )
