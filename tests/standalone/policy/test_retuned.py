"""New settings while requests are under way: what is learned and spent stays."""

from __future__ import annotations

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Outcome
from tests.standalone.policy.scripts import (
    CLASSES,
    SAFE,
    UNSAFE,
    Script,
    a_class,
    answers,
    entry,
    sends,
    settings,
)


def retuned(**more: object) -> api.Retuned:
    return api.Retuned(settings(**more))


def test_a_new_class_is_known_at_once_and_an_old_one_keeps_its_number() -> None:
    script = Script([entry(1)])
    _, actions = script.arrives(len(CLASSES))
    assert isinstance(answers(actions)[0], api.Fail)
    script.event(retuned(classes=(*CLASSES, a_class(Effect.UNSAFE))))
    _, actions = script.arrives(len(CLASSES))
    assert sends(actions)


def test_what_is_under_way_keeps_its_class() -> None:
    """Guards against a class that grows looser and gives an unsafe request a second effect."""
    script = Script([entry(1), entry(2)])
    request, actions = script.arrives(UNSAFE)
    script.event(retuned(classes=(a_class(),) * len(CLASSES)))
    assert script.ends(request, Outcome.ERROR, sends(actions)[0].upstream) == [api.Fail(request)]


def test_fewer_attempts_bind_from_then_on() -> None:
    script = Script([entry(1), entry(2), entry(3)])
    request, actions = script.arrives(SAFE)
    script.event(retuned(max_attempts=1))
    (last,) = script.ends(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert isinstance(last, api.Refuse)


def test_a_reload_refills_nothing() -> None:
    """The quota, set-asides and the room stay as they were."""
    script = Script([entry(1), entry(2)])
    for _ in range(3):
        request, actions = script.arrives()
        script.ends(request, Outcome.ERROR, sends(actions)[0].upstream)
        script.wait(50)
    balancer = script.balancer
    before = (balancer._quota.tokens, balancer.skipped(script.now), balancer._admission.room)
    assert before[0] < 500 and before[1] > 0
    script.event(retuned(max_attempts=3, copies=2))
    assert (balancer._quota.tokens, balancer.skipped(script.now), balancer._admission.room) == before
