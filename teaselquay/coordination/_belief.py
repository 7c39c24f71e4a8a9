"""How likely an upstream is in a spell of failures.

An upstream alternates between working and spells in which it fails most
requests while its health check passes. The belief is the filter of that
two-state Markov chain: between outcomes it relaxes to the long-run share of
spells, and each outcome moves it by Bayes' rule. One failure is therefore
enough to avoid an upstream, and a few seconds of silence to try it again.
"""

from dataclasses import dataclass
from math import exp

from teaselquay.decisions import Instant


#: An upstream is called suspected beyond this probability of a spell.
SUSPICION_THRESHOLD = 0.5


@dataclass(frozen=True, slots=True)
class SpellModel:
    """Lengths of spells and what upstreams do in and outside of them.

    The lengths are what the users report of rented servers: spells of
    several seconds, every ten seconds or so.
    """

    spell_s: float = 3.0
    between_s: float = 7.0
    #: Share of requests that fail in a spell and outside of one.
    fails_in_spell: float = 0.9
    fails_outside: float = 0.02
    #: The same for failures that come before any work can have been done:
    #: hardly any upstream that works fails so.
    fails_quickly_outside: float = 0.002
    #: Share of requests in a spell that fail after the usual work.
    fails_slowly_in_spell: float = 0.1
    #: Share of requests that outlast the quick failures of a spell.
    outlasts_in_spell: float = 0.3

    @property
    def long_run(self) -> float:
        """Return the share of time that upstreams spend in spells."""
        return self.spell_s / (self.spell_s + self.between_s)

    @property
    def relaxation_per_s(self) -> float:
        """Return the rate at which old evidence loses its weight."""
        return 1 / self.spell_s + 1 / self.between_s


@dataclass(slots=True)
class Belief:
    """Probability that one upstream is in a spell, and as of when.

    >>> belief = Belief(SpellModel())
    >>> belief.failed(Instant(0.0))
    >>> belief.at(Instant(0.0)) > 0.9
    True
    >>> belief.at(Instant(20.0)) < 0.31
    True
    """

    model: SpellModel
    in_spell: float = -1.0
    as_of: Instant = Instant(0.0)
    last_failure: Instant = Instant(float('-inf'))

    def __post_init__(self) -> None:
        """Begin with the long-run share unless told otherwise."""
        if self.in_spell < 0:
            self.in_spell = self.model.long_run

    def at(self, now: Instant) -> float:
        """Return the probability at `now`."""
        return self._relaxed(max(0, now - self.as_of))

    def age_at(self, now: Instant) -> float:
        """Return the seconds since the last outcome, 0 without any."""
        return max(0, now - self.as_of) if self.as_of else 0

    def fails_at(self, now: Instant) -> float:
        """Return the probability that a request sent at `now` fails."""
        model = self.model
        spell = self.at(now)
        return spell * model.fails_in_spell + (1 - spell) * model.fails_outside

    def failed(self, now: Instant, is_quick: bool = True) -> None:
        """Take in a failed request.

        One that failed before the work can have been done, or that was
        broken off, speaks for a spell; others are failures of the request
        as often.
        """
        model = self.model
        if is_quick:
            self._update(
                model.fails_in_spell,
                model.fails_quickly_outside,
                now,
            )
            self.last_failure = max(self.last_failure, now)
        else:
            self._update(
                model.fails_slowly_in_spell,
                model.fails_outside,
                now,
            )

    def succeeded(self, began: Instant, now: Instant) -> None:
        """Take in a served request.

        It speaks of the time it was sent at. One that was sent before a
        failure says nothing of what came after.
        """
        if began <= self.last_failure:
            return
        model = self.model
        self._update(1 - model.fails_in_spell, 1 - model.fails_outside, now)
        self.in_spell = self._relaxed(max(0, now - began))

    def outlasted(self, began: Instant, now: Instant) -> None:
        """Take in a request that was not failed at once."""
        if began > self.last_failure:
            self._update(self.model.outlasts_in_spell, 1.0, now)

    def _relaxed(self, elapsed_s: float) -> float:
        rest = self.model.long_run
        weight = exp(-self.model.relaxation_per_s * elapsed_s)
        return rest + (self.in_spell - rest) * weight

    def _update(self, in_spell: float, outside: float, now: Instant) -> None:
        prior = self.at(now)
        joint = prior * in_spell
        self.in_spell = joint / (joint + (1 - prior) * outside)
        self.as_of = max(self.as_of, now)
