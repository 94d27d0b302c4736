"""What may happen next: the decisions that the explorer makes, and how often it may make the rare ones."""

from __future__ import annotations

import msgspec


class _DiskPace(msgspec.Struct, frozen=True, kw_only=True):
    """`holds_writes`: what a machine asks of its disk stays under way; else all its writes are done before
    anything else happens."""

    holds_writes: bool = False


class Choice(_DiskPace, frozen=True):
    """The base of all choices; `node` is the number of the machine that it happens to."""

    node: int


class Deliver(Choice, frozen=True):
    """A message arrives; it is named by its number. `stays`: it may arrive once more later on."""

    message: int
    stays: bool = False


class FinishWrite(Choice, frozen=True):
    """The oldest write under way is on disk, the others too unless they are held."""


class FailWrite(Choice, frozen=True):
    """The oldest write under way is refused."""


class PassTime(Choice, frozen=True):
    """Time passes at one machine."""

    duration_ms: float


class LosePower(Choice, frozen=True):
    """The machine goes down and comes back; so many of the writes under way had been done."""

    retained_writes: int


class Kill(Choice, frozen=True):
    """The process is ended and started again."""


class Wipe(Choice, frozen=True):
    """The machine comes back with an empty disk."""


class Submit(Choice, frozen=True):
    """An operator sends one of the scenario's commands."""

    command: int


class Read(Choice, frozen=True):
    """An operator asks for the newest configuration."""


class Leave(Choice, frozen=True):
    """The machine is told that it will end."""


class Allowance(msgspec.Struct, frozen=True):
    """How often the rare choices may still be made; deliveries have no bound of their own. `faults` counts
    crashes, lost disks, refused and held writes, and messages that arrive twice, all together."""

    times: int = 0
    faults: int = 0
    wipes: int = 0
    commands: int = 0
    reads: int = 0
    leaves: int = 0

    def after(self, choice: Choice) -> Allowance:
        """What is left once a decision was made."""
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

    def bears(self, choice: Choice) -> bool:
        """Whether that choice may still be made."""
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
    """What a decision takes off the allowance."""
    cost = _COSTS.get(type(choice), _NOTHING)
    further = choice.holds_writes + (isinstance(choice, Deliver) and choice.stays)
    return msgspec.structs.replace(cost, faults=cost.faults + further) if further else cost


def described(choice: Choice) -> str:
    """One line for a reader."""
    machine = f"m{choice.node + 1}" + (" (its disk is slow)" if choice.holds_writes else "")
    match choice:
        case Deliver(_, _, stays):
            return f"{machine}: a message arrives" + (" and stays in flight" if stays else "")
        case PassTime(_, duration_ms):
            return f"{machine}: {duration_ms:g} ms pass"
        case LosePower(_, retained_writes):
            return f"{machine}: loses power, {retained_writes} of the writes under way done, and starts"
        case Submit(_, command):
            return f"{machine}: command {command} comes in"
        case _:
            return f"{machine}: {type(choice).__name__}"
