"""Experiment files: the modelled system, injected faults, compared policies and varied parameters."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import yaml

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ExperimentError(ValueError):
    """The file is not a valid experiment. The message is a single line."""


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the immutable file sections, which reject unknown fields."""


class Tier(Strict, frozen=True):
    """The upstreams of one tier. `work_ms` is the mean time that one core needs for a request."""

    upstreams: Count
    cores: Count = 4
    work_ms: Positive = 40.0
    work: Literal["exponential", "fixed"] = "exponential"
    queue: Annotated[int, msgspec.Meta(ge=0)] = 1_000_000
    connections: Count = 1_000_000
    crowd: Count = 1_000_000  # requests in flight from which an upstream is slow, until half of them are left
    crowd_factor: Positive = 1.0
    error_part: Part = 0.0
    ratings: tuple[Positive, ...] = (1.0,)
    zones: Count = 1


class Class(Strict, frozen=True):
    """A request class."""

    name: str
    share: Positive = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    aim_ms: Positive = 1500.0
    deadline_ms: Positive = 3000.0


class Load(Strict, frozen=True):
    """Poisson arrivals from clients that make up to `tries` attempts.

    Before each retry a client waits a random time, whose upper bound doubles with each attempt.
    """

    per_s: NotNegative
    classes: Annotated[tuple[Class, ...], msgspec.Meta(min_length=1)] = (Class(name="any"),)
    tries: Count = 1
    wait_ms: NotNegative = 200.0


class Network(Strict, frozen=True):
    """Delays and the connect timeout between copies and upstreams."""

    trip_ms: NotNegative = 1.0  # one way
    handshake_ms: NotNegative = 2.0
    connect_timeout_ms: Positive = 250.0


class Discovery(Strict, frozen=True):
    """Discovery updates and load reports.

    Each copy receives a discovery update after a uniformly random delay between `least_ms` and `most_ms`.
    `reports` adds load reports to answers.
    """

    least_ms: NotNegative = 50.0
    most_ms: NotNegative = 500.0
    silent_from_s: NotNegative = 0.0
    silent_for_s: NotNegative = 0.0
    repeats: Part = 0.0  # fraction of the updates that are delivered a second time, later
    reports: bool = False
    report_late_ms: NotNegative = 0.0


class Rules(Strict, frozen=True):
    """Limits that the policy must keep, and the cold start of upstreams."""

    max_attempts: Count = 4
    second_copies: bool = True
    answer_slack_ms: NotNegative = 50.0
    drain_grace_ms: NotNegative = 2000.0
    start_capacity: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.12
    warm_after_ms: NotNegative = 24_000.0
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1500.0


class Fault(Strict, frozen=True):
    """A fault at a fraction of one tier's upstreams, or at all upstreams of one zone.

    - `slow`: processing takes `factor` times as long.
    - `err`: requests fail at `rate`.
    - `silent`: accepts requests and never answers.
    - `crash`: refuses connections, then restarts cold.
    - `vanish`: is unreachable, then returns in its previous state.
    - `replace`: drains while a cold replacement starts.
    - `surge`: the load is multiplied by `factor`.
    """

    at_s: NotNegative
    kind: Literal["slow", "err", "silent", "crash", "vanish", "replace", "surge"]
    tier: Annotated[int, msgspec.Meta(ge=0)] = 0
    part: Part = 1.0
    zone: Annotated[int, msgspec.Meta(ge=0)] | None = None
    for_s: Positive = 10.0
    factor: Positive = 10.0
    rate: Part = 1.0


class Varied(Strict, frozen=True, kw_only=True):
    """Base of a file whose fields may be varied over several values.

    `vary` maps the path of a field to its values.
    """

    vary: dict[str, list[Any]] = {}
    seeds: Count = 1


V = TypeVar("V", bound=Varied)


class Experiment(Varied, frozen=True, kw_only=True):
    """An experiment on request routing: the simulated system, its faults and the policies to compare."""

    name: str
    question: str
    tiers: Annotated[tuple[Tier, ...], msgspec.Meta(min_length=1)]
    load: Load
    copies: Count = 2  # in front of the first tier; every upstream has its own copy for the next tier
    policies: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = ("madderwind",)
    network: Network = Network()
    news: Discovery = Discovery()
    rules: Rules = Rules()
    troubles: tuple[Fault, ...] = ()
    for_s: Positive = 30.0
    seeds: Count = 3


def read_experiment(path: Path) -> Experiment:
    """Reads an experiment and validates every variant of it.

    Raises ExperimentError with the file and the field.
    """
    return read_varied(path, Experiment, _check)


def read_varied(path: Path, struct_type: type[V], check: Callable[[Path, V], None] = lambda *_: None) -> V:
    """Reads a file as `struct_type` and validates every variant of it.

    `check` validates what the types do not express. Raises ExperimentError with the file and the field.
    """

    def read(tree: Any) -> V:
        try:
            converted = msgspec.convert(tree, struct_type)
        except msgspec.ValidationError as error:
            raise ExperimentError(f"{path}: {error}") from None
        check(path, converted)
        return converted

    base = read(read_tree(path))
    for _, variant in variants(base):
        read(variant)
    return base


def read_tree(path: Path) -> Any:
    """Parses a YAML file without validating its content. Raises ExperimentError with file and cause."""
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {' '.join(str(error).split())}") from None


def _check(path: Path, experiment: Experiment) -> None:
    from madderwind.testing.simulation.policies import POLICIES

    for number, fault in enumerate(experiment.troubles):
        field = f"{path}: troubles[{number}]"
        if fault.tier >= len(experiment.tiers):
            raise ExperimentError(f"{field}: there is no tier {fault.tier}")
        if fault.zone is not None and fault.zone >= experiment.tiers[fault.tier].zones:
            raise ExperimentError(f"{field}: there is no zone {fault.zone} in tier {fault.tier}")
    for policy in experiment.policies:
        if policy not in POLICIES:
            raise ExperimentError(f"{path}: policies: {policy!r} is not one of {', '.join(POLICIES)}")


def variants(experiment: Varied) -> Iterator[tuple[dict[str, Any], Any]]:
    """Every combination of the varied values, with the experiment's builtin types for it."""
    for values in itertools.product(*experiment.vary.values()):
        chosen = dict(zip(experiment.vary, values, strict=True))
        yield chosen, _tree_of(experiment, chosen)


def plays(experiment: V) -> Iterator[tuple[V, dict[str, Any], int]]:
    """Every combination of the varied values with every seed."""
    for chosen, _ in variants(experiment):
        for seed in range(1, experiment.seeds + 1):
            yield experiment, chosen, seed


def variant_of(experiment: V, chosen: dict[str, Any]) -> V:
    """The experiment with the chosen values in place."""
    return msgspec.convert(_tree_of(experiment, chosen), type(experiment))


def _tree_of(experiment: Varied, chosen: dict[str, Any]) -> Any:
    tree = msgspec.to_builtins(experiment)
    for name, value in chosen.items():
        _set_field(tree, name, value)
    return tree


def _set_field(tree: Any, path: str, value: Any) -> None:
    """Sets the field at a path like `tiers.0.upstreams`."""
    *parents, last = path.split(".")
    try:
        for step in parents:
            tree = tree[int(step)] if isinstance(tree, list | tuple) else tree[step]
        if last not in tree:
            raise KeyError(last)
        tree[last] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise ExperimentError(f"vary: there is no {path}") from None
