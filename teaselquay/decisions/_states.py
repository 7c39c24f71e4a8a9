"""Transition tables of state machines, shared by many objects."""

from enum import Enum
from typing import Generic, Mapping, Sequence, TypeVar

from transitions import Machine

State = TypeVar('State', bound=Enum)


class TransitionError(ValueError):
    """A trigger does not apply in a state."""


class StateTable(Generic[State]):
    """Transitions of one state machine.

    Thousands of objects store only their state and look up the next one in
    a shared table; a `Machine` for each would take several kilobytes.
    """

    def __init__(
        self,
        states: type[State],
        transitions: Sequence[Mapping[str, object]],
    ) -> None:
        """Build the table from `transitions`, as `Machine` takes them."""
        machine = Machine(
            model=None,
            states=states,
            transitions=list(transitions),
            initial=None,
            auto_transitions=False,
        )
        self._by_trigger: dict[tuple[str, State], State] = {}
        for name in machine.events:
            for transition in machine.get_transitions(name):
                source = states[transition.source]
                self._by_trigger[(name, source)] = states[str(transition.dest)]

    def after(self, trigger: str, state: State) -> State:
        """Return the state that `trigger` leads to from `state`.

        Raises:
            TransitionError: the trigger does not apply in `state`.
        """
        try:
            return self._by_trigger[(trigger, state)]
        except KeyError as error:
            raise TransitionError(
                f'{trigger} does not apply in {state}',
            ) from error
