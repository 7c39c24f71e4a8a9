"""Probability that an upstream is in a spell of failures.

An upstream alternates between working and spells in which it fails most
requests while its health check passes. The belief is a Bayesian filter of
this two-state Markov chain: between outcomes it relaxes to the long-run share
of spells, and each outcome updates it by Bayes' rule. One failure is therefore
enough to avoid an upstream, and a few seconds without outcomes are enough to
try it again.
"""

from dataclasses import dataclass, field
from math import exp, log

from teaselquay.decisions import Instant


#: An upstream is suspected above this probability of a spell.
SUSPICION_THRESHOLD = 0.5


@dataclass(frozen=True, slots=True)
class SpellModel:
    """Mean lengths of spells and failure rates in and outside of them.

    The lengths follow the users' reports of rented servers: spells of several
    seconds, about every ten seconds.
    """

    mean_spell_s: float = 3.0
    mean_between_s: float = 7.0
    #: Share of requests that fail in a spell and outside of one.
    failure_rate_in_spell: float = 0.9
    failure_rate_outside: float = 0.02
    #: Share of requests outside of a spell that fail before any work can have
    #: been done. A working upstream hardly ever fails this way.
    fast_failure_rate_outside: float = 0.002
    #: Share of requests in a spell that fail after the usual processing time.
    slow_failure_rate_in_spell: float = 0.1
    #: Share of requests in a spell that are still pending when a fast failure
    #: would have arrived.
    still_pending_rate_in_spell: float = 0.3
    #: Share of time that upstreams spend in spells.
    long_run_spell_share: float = field(init=False)
    #: Rate at which old evidence decays, per second.
    relaxation_rate_per_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Calculate what each placement needs, once."""
        cycle_s = self.mean_spell_s + self.mean_between_s
        rate_per_s = 1 / self.mean_spell_s + 1 / self.mean_between_s
        object.__setattr__(  # noqa: WPS609
            self, 'long_run_spell_share', self.mean_spell_s / cycle_s
        )
        object.__setattr__(  # noqa: WPS609
            self, 'relaxation_rate_per_s', rate_per_s
        )


@dataclass(slots=True)
class Belief:
    """Probability that one upstream is in a spell, and its time.

    >>> belief = Belief(SpellModel())
    >>> belief.record_failure(Instant(0.0))
    >>> belief.probability_at(Instant(0.0)) > 0.9
    True
    >>> belief.probability_at(Instant(20.0)) < 0.31
    True
    """

    model: SpellModel
    in_spell: float = -1.0
    as_of: Instant = Instant(0.0)
    last_spell_failure_at: Instant = Instant(float('-inf'))

    def __post_init__(self) -> None:
        """Start with the long-run share if no probability is given."""
        if self.in_spell < 0:
            self.in_spell = self.model.long_run_spell_share

    def probability_at(self, now: Instant) -> float:
        """Return the probability of a spell at `now`."""
        elapsed_s = now - self.as_of
        return (
            self._relaxed_probability(elapsed_s)
            if elapsed_s > 0
            else (self.in_spell)
        )

    def evidence_age_s_at(self, now: Instant) -> float:
        """Return the seconds since the last outcome, 0 without any."""
        return max(0, now - self.as_of) if self.as_of else 0

    def failure_probability_at(self, now: Instant) -> float:
        """Return the probability that a request sent at `now` fails."""
        model = self.model
        rate = model.failure_rate_in_spell - model.failure_rate_outside
        return model.failure_rate_outside + rate * self.probability_at(now)

    def falls_below_at(self, threshold: float) -> Instant:
        """Return when the probability falls below `threshold` by itself.

        `threshold` is above the long-run share of spells. Without further
        outcomes the probability stays below it from then on.
        """
        equilibrium = self.model.long_run_spell_share
        if self.in_spell < threshold:
            return self.as_of
        excess = (self.in_spell - equilibrium) / (threshold - equilibrium)
        return Instant(
            self.as_of + log(excess) / self.model.relaxation_rate_per_s
        )

    def record_failure(
        self,
        now: Instant,
        indicates_spell: bool = True,
    ) -> None:
        """Record a failed request.

        One that failed before the work can have been done, whose connection
        broke or that timed out indicates a spell. Other failures are as
        often caused by the request itself.
        """
        model = self.model
        if indicates_spell:
            self._update(
                model.failure_rate_in_spell,
                model.fast_failure_rate_outside,
                now,
            )
            self.last_spell_failure_at = max(self.last_spell_failure_at, now)
        else:
            self._update(
                model.slow_failure_rate_in_spell,
                model.failure_rate_outside,
                now,
            )

    def record_success(self, sent_at: Instant, now: Instant) -> None:
        """Record a served request.

        It is evidence about the time at which it was sent. One that was sent
        before a failure is no evidence about the time after that failure.
        """
        if sent_at <= self.last_spell_failure_at:
            return
        model = self.model
        self._update(
            1 - model.failure_rate_in_spell,
            1 - model.failure_rate_outside,
            now,
        )
        self.in_spell = self._relaxed_probability(max(0, now - sent_at))

    def record_still_pending(self, sent_at: Instant, now: Instant) -> None:
        """Record a request that did not fail fast."""
        if sent_at > self.last_spell_failure_at:
            self._update(self.model.still_pending_rate_in_spell, 1.0, now)

    def _relaxed_probability(self, elapsed_s: float) -> float:
        equilibrium = self.model.long_run_spell_share
        weight = exp(-self.model.relaxation_rate_per_s * elapsed_s)
        return equilibrium + (self.in_spell - equilibrium) * weight

    def _update(
        self,
        likelihood_in_spell: float,
        likelihood_outside: float,
        now: Instant,
    ) -> None:
        prior = self.probability_at(now)
        joint = prior * likelihood_in_spell
        self.in_spell = joint / (joint + (1 - prior) * likelihood_outside)
        self.as_of = max(self.as_of, now)
