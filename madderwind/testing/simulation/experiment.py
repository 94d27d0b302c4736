"""Experiments as files: what is modelled, what goes wrong, which policies, and what is varied."""

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
    """The file cannot be read as an experiment; the text is one plain line."""


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Tier(Strict, frozen=True):
    """Upstreams of one tier. `work_ms` is the mean time that one core needs for a request."""

    upstreams: Count
    cores: Count = 4
    work_ms: Positive = 40.0
    work: Literal["exponential", "fixed"] = "exponential"
    queue: Annotated[int, msgspec.Meta(ge=0)] = 1_000_000
    connections: Count = 1_000_000
    crowd: Count = 1_000_000  # requests held from which on it is slow, until half of them are left
    crowd_factor: Positive = 1.0
    error_part: Part = 0.0
    ratings: tuple[Positive, ...] = (1.0,)
    zones: Count = 1


class Class(Strict, frozen=True):
    name: str
    share: Positive = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    aim_ms: Positive = 1500.0
    deadline_ms: Positive = 3000.0


class Load(Strict, frozen=True):
    """Requests at random from clients that try again, so many times, after waits that double."""

    per_s: NotNegative
    classes: Annotated[tuple[Class, ...], msgspec.Meta(min_length=1)] = (Class(name="any"),)
    tries: Count = 1
    wait_ms: NotNegative = 200.0


class Network(Strict, frozen=True):
    trip_ms: NotNegative = 1.0  # one way
    handshake_ms: NotNegative = 2.0
    connect_timeout_ms: Positive = 250.0


class News(Strict, frozen=True):
    """Discovery: how late each copy hears, by chance between two bounds; and reports on answers."""

    least_ms: NotNegative = 50.0
    most_ms: NotNegative = 500.0
    silent_from_s: NotNegative = 0.0
    silent_for_s: NotNegative = 0.0
    repeats: Part = 0.0  # the part of news that comes a second time, later
    reports: bool = False
    report_late_ms: NotNegative = 0.0


class Rules(Strict, frozen=True):
    max_attempts: Count = 4
    second_copies: bool = True
    answer_slack_ms: NotNegative = 50.0
    drain_grace_ms: NotNegative = 2000.0
    start_capacity: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.12
    warm_after_ms: NotNegative = 24_000.0
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1500.0


class Trouble(Strict, frozen=True):
    """What goes wrong at a part of one tier's upstreams, or at those of one zone.

    `slow` by a factor, `err` at a rate, `silent` (takes work and says nothing), `crash` (connections are
    refused, back cold), `vanish` (nothing comes up, back as it was), `replace` (drains, new ones come cold),
    `surge` (the load by a factor).
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
    """What a file holds whose places may take several values in turn."""

    vary: dict[str, list[Any]] = {}
    seeds: Count = 1


V = TypeVar("V", bound=Varied)


class Experiment(Varied, frozen=True, kw_only=True):
    name: str
    question: str
    tiers: Annotated[tuple[Tier, ...], msgspec.Meta(min_length=1)]
    load: Load
    copies: Count = 2  # of the first tier; every upstream has a copy of its own for the tier behind it
    policies: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = ("madderwind",)
    network: Network = Network()
    news: News = News()
    rules: Rules = Rules()
    troubles: tuple[Trouble, ...] = ()
    for_s: Positive = 30.0
    seeds: Count = 3


def read_experiment(path: Path) -> Experiment:
    """The experiment of a file, with every variant checked. ExperimentError names file and place."""
    return read_varied(path, Experiment, _check)


def read_varied(path: Path, kind: type[V], check: Callable[[Path, V], None] = lambda *_: None) -> V:
    """What a file describes, and that each of its variants can be read; `check` looks beyond the types.
    ExperimentError names file and place."""

    def read(tree: Any) -> V:
        try:
            found = msgspec.convert(tree, kind)
        except msgspec.ValidationError as error:
            raise ExperimentError(f"{path}: {error}") from None
        check(path, found)
        return found

    whole = read(read_tree(path))
    for _, variant in variants(whole):
        read(variant)
    return whole


def read_tree(path: Path) -> Any:
    """What a YAML file holds, not yet looked at. ExperimentError names the file and what is wrong."""
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {' '.join(str(error).split())}") from None


def _check(path: Path, experiment: Experiment) -> None:
    from madderwind.testing.simulation.policies import POLICIES

    for number, trouble in enumerate(experiment.troubles):
        at = f"{path}: troubles[{number}]"
        if trouble.tier >= len(experiment.tiers):
            raise ExperimentError(f"{at}: there is no tier {trouble.tier}")
        if trouble.zone is not None and trouble.zone >= experiment.tiers[trouble.tier].zones:
            raise ExperimentError(f"{at}: there is no zone {trouble.zone} in tier {trouble.tier}")
    for policy in experiment.policies:
        if policy not in POLICIES:
            raise ExperimentError(f"{path}: policies: {policy!r} is none of {', '.join(POLICIES)}")


def variants(experiment: Varied) -> Iterator[tuple[dict[str, Any], Any]]:
    """Every choice of what is varied, with the experiment's tree under it."""
    for values in itertools.product(*experiment.vary.values()):
        chosen = dict(zip(experiment.vary, values, strict=True))
        yield chosen, _tree_of(experiment, chosen)


def plays(whole: V) -> Iterator[tuple[V, dict[str, Any], int]]:
    """Every choice of what is varied, under every seed."""
    for chosen, _ in variants(whole):
        for seed in range(1, whole.seeds + 1):
            yield whole, chosen, seed


def variant_of(experiment: V, chosen: dict[str, Any]) -> V:
    return msgspec.convert(_tree_of(experiment, chosen), type(experiment))


def _tree_of(experiment: Varied, chosen: dict[str, Any]) -> Any:
    tree = msgspec.to_builtins(experiment)
    for name, value in chosen.items():
        _put(tree, name, value)
    return tree


def _put(tree: Any, place: str, value: Any) -> None:
    """Put a value at a place like `tiers.0.upstreams`."""
    *way, last = place.split(".")
    try:
        for step in way:
            tree = tree[int(step)] if isinstance(tree, list | tuple) else tree[step]
        if last not in tree:
            raise KeyError(last)
        tree[last] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise ExperimentError(f"vary: there is no {place}") from None
