"""Whether what several callers saw of one configuration fits together: a check of linearizability.

The configuration is a register that is changed by commands, each on top of one version. The chain of commands
that were taken is known at the end, so that only the moments are open at which each of them took effect. Each
call bounds these moments:

* a command takes effect after its first call began, and before the first answer that confirms it ended;
* a read that saw a version ended after that version took effect, and began before the next one did;
* a refusal says the same of the version that it names as current, which is not the one the command builds on;
* a call without an answer, or with an unclear one, may take effect at any time after its beginning, or never.

The bounds are all lower or upper ones on single moments, but for a refusal that names no version: it holds if
the version that the command builds on was not yet there when the call began, or no longer when it ended. The
earliest moments that the lower bounds allow are computed; a refusal that they leave in doubt raises a lower
bound, as its other half is impossible then. The history is linearizable if the earliest moments keep all
upper bounds.

Beyond linearizability, the operators' rules are checked: a command is in the chain once at most, and one that
was refused, whenever that was, is not in it. Not so a command on a version that is not there yet, which no
operator can know: its refusal names a version below its base, and is right at its moment. A call of it that
was held up may be taken once its base is there, so it takes effect after that refusal began.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Sequence

import attrs

from madderwind.replication.commands import CommandOutcome
from tests.fleet.history import Violation


class NotLinearizable(Violation):
    """No order of the calls explains what was seen."""


@attrs.frozen
class ChainEntry:
    """One command that was taken, in its place in the chain. `document`: the configuration after it, compared
    with what reads saw where both are given."""

    identity: Hashable
    base_version: int
    version: int
    document: Hashable | None = None


@attrs.frozen
class CommandCall:
    """One call with a command; repeats are calls of their own with the same identity.

    `outcome` is None where no answer came. `told_version`: the version that a clear answer named as current,
    None where it is not known. `is_valid`: whether the command is valid by itself on top of its base.
    """

    identity: Hashable
    base_version: int
    version: int
    start_ms: float
    end_ms: float = math.inf
    outcome: CommandOutcome | None = None
    notified_version: int | None = None
    is_valid: bool = True

    @property
    def waits_for_its_base(self) -> bool:
        """Whether it was refused as the version that it builds on was not there yet."""
        if self.outcome is not CommandOutcome.STALE_BASE or self.notified_version is None:
            return False
        return self.notified_version < self.base_version


@attrs.frozen
class ReadCall:
    """One read that was answered as the newest; reads without such an answer tell nothing."""

    start_ms: float
    end_ms: float
    version: int
    document: Hashable | None = None


@attrs.frozen
class _Bound:
    """A bound of the moment at which a place of the chain takes effect, and what it follows from."""

    at_ms: float
    reason: str


@attrs.frozen
class _DoubtfulRefusal:
    """A refusal that holds unless the version at `place` was current from the call's start to its end."""

    place: int
    call: CommandCall


_NEVER = _Bound(-math.inf, "nothing")
_ALWAYS = _Bound(math.inf, "nothing")


def check_linearizable(
    chain: Sequence[ChainEntry], commands: Iterable[CommandCall], reads: Iterable[ReadCall] = ()
) -> None:
    """Raises NotLinearizable where no moments explain all calls. `chain`: the commands that were taken,
    oldest first, on top of version 0."""
    moments = _Moments(chain)
    for call in commands:
        moments.submit_and_commit(call)
    for read in reads:
        moments.read_committed(read)
    moments.check()


class _Moments:
    """The bounds of the moments at which the places of the chain take effect; place 0 is version 0."""

    def __init__(self, chain: Sequence[ChainEntry]) -> None:
        self._chain = chain
        self._place_of_version = {0: 0}
        self._place_of_command: dict[Hashable, int] = {}
        for place, entry in enumerate(chain, start=1):
            self._add_entry(place, entry)
        self._first_call_ms: dict[Hashable, float] = {}
        self._lower = [_NEVER] * (len(chain) + 1)
        self._upper = [_ALWAYS] * (len(chain) + 1)
        self._doubtful: list[_DoubtfulRefusal] = []

    def _add_entry(self, place: int, entry: ChainEntry) -> None:
        before = self._chain[place - 2].version if place > 1 else 0
        if entry.base_version != before or entry.version <= before:
            raise NotLinearizable(f"{entry} was taken on top of version {before}")
        if entry.identity in self._place_of_command:
            raise NotLinearizable(f"{entry} was taken twice")
        self._place_of_version[entry.version] = place
        self._place_of_command[entry.identity] = place

    # --- what was seen ---

    def submit_and_commit(self, call: CommandCall) -> None:
        """Add what a call with a command tells."""
        first_ms = self._first_call_ms.get(call.identity, math.inf)
        self._first_call_ms[call.identity] = min(first_ms, call.start_ms)
        if call.outcome is None or call.outcome is CommandOutcome.UNKNOWN:
            return
        if call.outcome is CommandOutcome.COMMITTED:
            self._take_confirmation(call)
        else:
            self._take_refusal(call)
        if call.notified_version is not None:
            self._was_current(call.notified_version, call.start_ms, call.end_ms, str(call))

    def read_committed(self, read: ReadCall) -> None:
        """Add what a read tells."""
        place = self._was_current(read.version, read.start_ms, read.end_ms, str(read))
        document = self._chain[place - 1].document if place else None
        if None not in (document, read.document) and document != read.document:
            raise NotLinearizable(f"{read} saw another document than was taken under its version")

    def _take_confirmation(self, call: CommandCall) -> None:
        place = self._place_of_command.get(call.identity)
        if place is None:
            raise NotLinearizable(f"{call} was confirmed and is lost")
        self._not_after(place, _Bound(call.end_ms, str(call)))
        if call.notified_version is not None and call.notified_version < self._chain[place - 1].version:
            raise NotLinearizable(f"{call} was confirmed under an older version than its own")

    def _take_refusal(self, call: CommandCall) -> None:
        place = self._place_of_command.get(call.identity)
        if place is not None:
            if not call.waits_for_its_base:
                raise NotLinearizable(f"{call} was refused and is in force")
            self._not_before(place, _Bound(call.start_ms, str(call)))
        if call.outcome is CommandOutcome.INVALID:
            self._take_invalidity(call)
        elif call.notified_version == call.base_version:
            raise NotLinearizable(f"{call} was refused on top of the version that it builds on")
        elif call.notified_version is None and call.is_valid:
            place = self._place_of_version.get(call.base_version)
            if place is not None:
                self._doubtful.append(_DoubtfulRefusal(place, call))

    def _take_invalidity(self, call: CommandCall) -> None:
        """A valid command may be called invalid only where its version is not above the current one."""
        if not call.is_valid:
            return
        later = [place for version, place in self._place_of_version.items() if version >= call.version]
        if not later:
            raise NotLinearizable(f"{call} is valid and was called invalid")
        self._not_after(min(later), _Bound(call.end_ms, str(call)))

    def _was_current(self, version: int, start_ms: float, end_ms: float, reason: str) -> int:
        """A version was seen as current at some moment of a call; its place."""
        place = self._place_of_version.get(version)
        if place is None:
            raise NotLinearizable(f"{reason} saw version {version}, which was never taken")
        self._not_after(place, _Bound(end_ms, reason))
        if place < len(self._chain):
            self._not_before(place + 1, _Bound(start_ms, reason))
        return place

    # --- what follows ---

    def check(self) -> None:
        """Raises NotLinearizable where no moments keep all bounds."""
        for place, entry in enumerate(self._chain, start=1):
            first_ms = self._first_call_ms.get(entry.identity)
            if first_ms is None:
                raise NotLinearizable(f"{entry} was taken and never sent")
            self._not_before(place, _Bound(first_ms, f"it was sent at {first_ms}"))
        earliest = self._earliest()
        while self._stabilize_refusals(earliest):
            earliest = self._earliest()
        for place, lower in enumerate(earliest):
            if lower.at_ms > self._upper[place].at_ms:
                upper = self._upper[place]
                raise NotLinearizable(
                    f"place {place} took effect no earlier than {lower.at_ms} ({lower.reason})"
                    f" and no later than {upper.at_ms} ({upper.reason})"
                )

    def _not_before(self, place: int, bound: _Bound) -> None:
        self._lower[place] = max(self._lower[place], bound, key=lambda each: each.at_ms)

    def _not_after(self, place: int, bound: _Bound) -> None:
        """Whatever precedes this place took effect by then, too."""
        for earlier in range(place, -1, -1):
            if self._upper[earlier].at_ms <= bound.at_ms:
                return
            self._upper[earlier] = bound

    def _earliest(self) -> list[_Bound]:
        """The earliest moments that the lower bounds allow: none before the one before it."""
        earliest = [self._lower[0]]
        for lower in self._lower[1:]:
            earliest.append(max(earliest[-1], lower, key=lambda each: each.at_ms))
        return earliest

    def _stabilize_refusals(self, earliest: list[_Bound]) -> bool:
        """Raise the lower bounds of bases where no later version explains a refusal; whether any rose."""
        is_raised = False
        for doubtful in self._doubtful:
            place, call = doubtful.place, doubtful.call
            is_superseded = place < len(self._chain) and earliest[place + 1].at_ms <= call.end_ms
            if is_superseded or earliest[place].at_ms >= call.start_ms:
                continue
            if place == 0:
                raise NotLinearizable(f"{call} was refused before anything else was taken")
            self._not_before(place, _Bound(call.start_ms, f"{call} was refused"))
            is_raised = True
        return is_raised
