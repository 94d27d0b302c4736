"""The choices of events that the explorer makes, and how often it may make the rare ones."""

from __future__ import annotations

import msgspec


class _WriteTiming(msgspec.Struct, frozen=True, kw_only=True):
    """`holds_writes`: the machine's disk writes stay pending; otherwise all of them complete before any other
    event."""

    holds_writes: bool = False


class Choice(_WriteTiming, frozen=True):
    """The base of all choices; `node` is the number of the machine that it affects."""

    node: int


class Deliver(Choice, frozen=True):
    """A message, given by its number, arrives. `stays`: it remains in flight and may arrive again."""

    message: int
    stays: bool = False


class FinishWrite(Choice, frozen=True):
    """The oldest pending write completes, and the others too unless they are held."""


class FailWrite(Choice, frozen=True):
    """The oldest pending write fails."""


class PassTime(Choice, frozen=True):
    """The clock of one machine advances."""

    duration_ms: float


class LosePower(Choice, frozen=True):
    """The machine loses power and restarts; the first `retained_writes` pending writes had completed."""

    retained_writes: int


class Kill(Choice, frozen=True):
    """The process is killed and restarted."""


class Wipe(Choice, frozen=True):
    """The machine restarts with an empty disk."""


class Submit(Choice, frozen=True):
    """An operator sends one of the scenario's commands."""

    command: int


class Read(Choice, frozen=True):
    """An operator reads the newest configuration."""


class Leave(Choice, frozen=True):
    """The machine receives a shutdown request."""


class Allowance(msgspec.Struct, frozen=True):
    """How often the rare choices may still be made; deliveries have no limit of their own. `faults` is the
    sum of crashes, lost disks, failed and held writes, and messages delivered twice."""

    times: int = 0
    faults: int = 0
    wipes: int = 0
    commands: int = 0
    reads: int = 0
    leaves: int = 0

    def after(self, choice: Choice) -> Allowance:
        """The allowance that remains after a choice."""
        cost = cost_of(choice)
        if cost == _NOTHING:
            return self
        return Allowance(
            self.times - cost.times,
            self.faults - cost.faults,
            self.wipes - cost.wipes,
            self.commands - cost.commands,
            self.reads - cost.reads,
            self.leaves - cost.leaves,
        )

    def covers(self, choice: Choice) -> bool:
        """Whether the allowance covers a choice."""
        left = self.after(choice)
        counts = (left.times, left.faults, left.wipes, left.commands, left.reads, left.leaves)
        return min(counts) >= 0


_NOTHING = Allowance()
_COSTS: dict[type[Choice], Allowance] = {
    PassTime: Allowance(times=1),
    LosePower: Allowance(faults=1),
    Kill: Allowance(faults=1),
    FailWrite: Allowance(faults=1),
    Wipe: Allowance(faults=1, wipes=1),
    Submit: Allowance(commands=1),
    Read: Allowance(reads=1),
    Leave: Allowance(leaves=1),
}


def cost_of(choice: Choice) -> Allowance:
    """The part of the allowance that a choice uses up."""
    cost = _COSTS.get(type(choice), _NOTHING)
    extra_faults = choice.holds_writes + (isinstance(choice, Deliver) and choice.stays)
    return msgspec.structs.replace(cost, faults=cost.faults + extra_faults) if extra_faults else cost


def describe(choice: Choice) -> str:
    """A one-line description for reports."""
    machine = f"m{choice.node + 1}" + (" (its writes stay pending)" if choice.holds_writes else "")
    match choice:
        case Deliver(_, _, stays):
            return f"{machine}: a message arrives" + (" and stays in flight" if stays else "")
        case PassTime(_, duration_ms):
            return f"{machine}: the clock advances by {duration_ms:g} ms"
        case LosePower(_, retained_writes):
            return f"{machine}: loses power with {retained_writes} pending writes completed, and restarts"
        case Submit(_, command):
            return f"{machine}: receives command {command}"
        case _:
            return f"{machine}: {type(choice).__name__}"
