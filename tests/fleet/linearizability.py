"""Checks that the calls of several clients on one configuration are linearizable.

The configuration is a register that is changed by commands, each based on one version. The chain of committed
commands is known at the end, so only the times at which each of them took effect are unknown. Each call
bounds these times:

* a command takes effect after its first call began, and before the first call that confirms it ended;
* a read that saw a version ended after that version took effect, and began before the next one did;
* a refusal implies the same for the version that it names as current, which differs from the command's base;
* a call without an answer, or with an indefinite one, may take effect at any time after it began, or never.

All of these are lower or upper bounds on single times, except for a refusal that names no version: it is
consistent if the command's base was not yet current at the beginning of the call, or no longer current at its
end. The earliest times that the lower bounds allow are computed; a refusal that no superseding version
explains at these times raises the lower bound of its base, as that is the only other explanation. The history
is linearizable if the earliest times satisfy all upper bounds.

Beyond linearizability, the rules for operators are checked: a command is in the chain at most once, and a
command that was ever refused is not in it. A command whose base does not exist yet, which no operator can
know, is an exception: its refusal names a version below its base and is correct at that time. A delayed call
of it may be committed once its base exists, so the command takes effect after that refusal began.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Sequence

import attrs

from madderwind.replication.commands import CommandOutcome
from tests.fleet.history import Violation


class NotLinearizable(Violation):
    """No order of the calls explains the observations."""


@attrs.frozen
class ChainEntry:
    """One committed command in the chain. `document`: the configuration after it, compared with the documents
    of reads if both are given."""

    identity: Hashable
    base_version: int
    version: int
    document: Hashable | None = None


@attrs.frozen
class CommandCall:
    """One call with a command; a retry is a separate call with the same identity.

    `outcome` is None if no answer arrived. `notified_version`: the version that a definite answer named as
    current, None if unknown. `is_valid`: whether the command itself is valid on top of its base.
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
        """Whether it was refused because its base version did not exist yet."""
        if self.outcome is not CommandOutcome.STALE_BASE or self.notified_version is None:
            return False
        return self.notified_version < self.base_version


@attrs.frozen
class ReadCall:
    """One read answered with the newest version; reads without such an answer imply no bounds."""

    start_ms: float
    end_ms: float
    version: int
    document: Hashable | None = None


@attrs.frozen
class _Bound:
    """A bound on the time at which a position of the chain takes effect, and the call that implies it."""

    at_ms: float
    reason: str


@attrs.frozen
class _DoubtfulRefusal:
    """A refusal that is consistent unless the version at `position` was current throughout the call."""

    position: int
    call: CommandCall


_NEVER = _Bound(-math.inf, "nothing")
_ALWAYS = _Bound(math.inf, "nothing")


def check_linearizable(
    chain: Sequence[ChainEntry], commands: Iterable[CommandCall], reads: Iterable[ReadCall] = ()
) -> None:
    """Raises NotLinearizable if no times explain all calls. `chain`: the committed commands, oldest first, on
    top of version 0."""
    effect_times = _EffectTimes(chain)
    for call in commands:
        effect_times.add_command(call)
    for read in reads:
        effect_times.add_read(read)
    effect_times.check()


class _EffectTimes:
    """The bounds on the times at which the positions of the chain take effect; position 0 is version 0."""

    def __init__(self, chain: Sequence[ChainEntry]) -> None:
        self._chain = chain
        self._position_of_version = {0: 0}
        self._position_of_command: dict[Hashable, int] = {}
        for position, entry in enumerate(chain, start=1):
            self._add_entry(position, entry)
        self._first_call_ms: dict[Hashable, float] = {}
        self._lower = [_NEVER] * (len(chain) + 1)
        self._upper = [_ALWAYS] * (len(chain) + 1)
        self._doubtful: list[_DoubtfulRefusal] = []

    def _add_entry(self, position: int, entry: ChainEntry) -> None:
        before = self._chain[position - 2].version if position > 1 else 0
        if entry.base_version != before or entry.version <= before:
            raise NotLinearizable(f"{entry} was committed on top of version {before}")
        if entry.identity in self._position_of_command:
            raise NotLinearizable(f"{entry} was committed twice")
        self._position_of_version[entry.version] = position
        self._position_of_command[entry.identity] = position

    def add_command(self, call: CommandCall) -> None:
        """Add the bounds that a call with a command implies."""
        first_ms = self._first_call_ms.get(call.identity, math.inf)
        self._first_call_ms[call.identity] = min(first_ms, call.start_ms)
        if call.outcome is None or call.outcome is CommandOutcome.UNKNOWN:
            return
        if call.outcome is CommandOutcome.COMMITTED:
            self._add_confirmation(call)
        else:
            self._add_refusal(call)
        if call.notified_version is not None:
            self._add_current_version(call.notified_version, call.start_ms, call.end_ms, str(call))

    def add_read(self, read: ReadCall) -> None:
        """Add the bounds that a read implies."""
        position = self._add_current_version(read.version, read.start_ms, read.end_ms, str(read))
        document = self._chain[position - 1].document if position else None
        if None not in (document, read.document) and document != read.document:
            raise NotLinearizable(f"{read} saw another document than the one committed under its version")

    def _add_confirmation(self, call: CommandCall) -> None:
        position = self._position_of_command.get(call.identity)
        if position is None:
            raise NotLinearizable(f"{call} was confirmed and is lost")
        self._not_after(position, _Bound(call.end_ms, str(call)))
        if call.notified_version is not None and call.notified_version < self._chain[position - 1].version:
            raise NotLinearizable(f"{call} was confirmed under an older version than its own")

    def _add_refusal(self, call: CommandCall) -> None:
        position = self._position_of_command.get(call.identity)
        if position is not None:
            if not call.waits_for_its_base:
                raise NotLinearizable(f"{call} was refused and is committed")
            self._not_before(position, _Bound(call.start_ms, str(call)))
        if call.outcome is CommandOutcome.INVALID:
            self._add_invalid_refusal(call)
        elif call.notified_version == call.base_version:
            raise NotLinearizable(f"{call} was refused while its base version was current")
        elif call.notified_version is None and call.is_valid:
            position = self._position_of_version.get(call.base_version)
            if position is not None:
                self._doubtful.append(_DoubtfulRefusal(position, call))

    def _add_invalid_refusal(self, call: CommandCall) -> None:
        """A valid command may be rejected as invalid only if its version is not above the current one."""
        if not call.is_valid:
            return
        later = [
            position for version, position in self._position_of_version.items() if version >= call.version
        ]
        if not later:
            raise NotLinearizable(f"{call} is valid and was rejected as invalid")
        self._not_after(min(later), _Bound(call.end_ms, str(call)))

    def _add_current_version(self, version: int, start_ms: float, end_ms: float, reason: str) -> int:
        """Add the bounds of a version that was current at some time during a call; returns its position."""
        position = self._position_of_version.get(version)
        if position is None:
            raise NotLinearizable(f"{reason} saw version {version}, which was never committed")
        self._not_after(position, _Bound(end_ms, reason))
        if position < len(self._chain):
            self._not_before(position + 1, _Bound(start_ms, reason))
        return position

    def check(self) -> None:
        """Raises NotLinearizable if no times satisfy all bounds."""
        for position, entry in enumerate(self._chain, start=1):
            first_ms = self._first_call_ms.get(entry.identity)
            if first_ms is None:
                raise NotLinearizable(f"{entry} was committed and never sent")
            self._not_before(position, _Bound(first_ms, f"it was sent at {first_ms}"))
        earliest = self._earliest()
        while self._apply_doubtful_refusals(earliest):
            earliest = self._earliest()
        for position, lower in enumerate(earliest):
            if lower.at_ms > self._upper[position].at_ms:
                upper = self._upper[position]
                raise NotLinearizable(
                    f"position {position} took effect no earlier than {lower.at_ms} ({lower.reason})"
                    f" and no later than {upper.at_ms} ({upper.reason})"
                )

    def _not_before(self, position: int, bound: _Bound) -> None:
        self._lower[position] = max(self._lower[position], bound, key=lambda each: each.at_ms)

    def _not_after(self, position: int, bound: _Bound) -> None:
        """Add an upper bound; it applies to all earlier positions, too."""
        for earlier in range(position, -1, -1):
            if self._upper[earlier].at_ms <= bound.at_ms:
                return
            self._upper[earlier] = bound

    def _earliest(self) -> list[_Bound]:
        """The earliest times that the lower bounds allow, in the order of the chain."""
        earliest = [self._lower[0]]
        for lower in self._lower[1:]:
            earliest.append(max(earliest[-1], lower, key=lambda each: each.at_ms))
        return earliest

    def _apply_doubtful_refusals(self, earliest: list[_Bound]) -> bool:
        """Raise lower bounds of bases where no later version explains a refusal; return whether any rose."""
        is_raised = False
        for doubtful in self._doubtful:
            position, call = doubtful.position, doubtful.call
            is_superseded = position < len(self._chain) and earliest[position + 1].at_ms <= call.end_ms
            if is_superseded or earliest[position].at_ms >= call.start_ms:
                continue
            if position == 0:
                raise NotLinearizable(f"{call} was refused before any command was committed")
            self._not_before(position, _Bound(call.start_ms, f"{call} was refused"))
            is_raised = True
        return is_raised
