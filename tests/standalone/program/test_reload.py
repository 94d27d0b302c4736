"""SIGHUP: new settings, judged whole, on a service among stand-ins."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from madderwind.standalone.policy.api import Effect, RequestArrived
from madderwind.standalone.program.configuration import ConfigurationError, read_configuration, read_successor
from madderwind.standalone.routing.exchange import Exchange
from tests import examples
from tests.standalone.program.harness import Running
from tests.standins import Caller, Message, Upstream, Writer, answer, run, says, within


def rewrite(folder: Path, **changes: Any) -> dict[str, Any]:
    """The configuration with other values at these places, a__b for settings' a.b, and what it was before."""
    path = folder / "config.json"
    tree: dict[str, Any] = json.loads(path.read_text())
    for place, value in changes.items():
        *way, last = place.split("__")
        at: Any = tree["settings"]
        for name in way:
            at = at[int(name) if name.isdigit() else name]
        at[last] = value
    path.write_text(json.dumps(tree))
    return tree


def profile(name: str, effect: str = "read_like") -> dict[str, Any]:
    return {"Name": name, "Effect": effect, "DeadlineMs": 4000.0, "GoalTimeMs": 1500.0}


BAD: dict[str, Any] = {
    "empty": "",
    "cut short": None,
    "no object": "[]",
    "a deadline of nothing": {"Profiles__0__DeadlineMs": 0},
    "a negative deadline": {"Profiles__1__DeadlineMs": -5},
    "a deadline that is text": {"Profiles__0__DeadlineMs": "900"},
    "a deadline that is a flag": {"Profiles__0__DeadlineMs": True},
    "a deadline that is nothing": {"Profiles__0__DeadlineMs": None},
    "an aim that is a list": {"Profiles__0__GoalTimeMs": [900]},
    "no attempts": {"Ceilings__MaxAttempts": 0},
    "attempts that are text": {"Ceilings__MaxAttempts": "3"},
    "attempts that are a flag": {"Ceilings__MaxAttempts": True},
    "half an attempt": {"Ceilings__MaxAttempts": 0.5},
    "two classes of one name": {"Profiles": [profile("a"), profile("a")]},
    "no classes": {"Profiles": []},
    "an endless deadline": '"DeadlineMs": 4000.0>"DeadlineMs": 1e999',
    "no number": '"DeadlineMs": 4000.0>"DeadlineMs": NaN',
}


def spoil(folder: Path, how: Any) -> None:
    path = folder / "config.json"
    if how is None:
        path.write_bytes(path.read_bytes()[:-200])
    elif isinstance(how, dict):
        rewrite(folder, **how)
    elif ">" in how:
        path.write_text(path.read_text().replace(*how.split(">")))
    else:
        path.write_text(how)


@pytest.mark.parametrize("how", BAD.values(), ids=list(BAD))
def test_a_bad_file_is_turned_down_whole(tmp_path: Path, how: Any) -> None:
    """What is in force stays to the last figure: discovery's address too, which the bad file changes."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"yes")))) as running:
            copy, path = running.service.copy, tmp_path / "config.json"
            before = copy.host
            path.write_text(path.read_text().replace(f":{running.agent.port}", ":1"))
            spoil(tmp_path, how)
            running.service.reload()
            assert copy.host is before
            assert running.service._configuration.discovery[1] == running.agent.port
            assert await running.figure("load_errors_total") == 1
            assert await running.figure("loads_total") == 0
            assert len(running.log.named("configuration_unreadable")) == 1
            assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "seed", "known", "settings", "limits"])
@pytest.mark.parametrize("within_settings", [False, True])
def test_a_lost_key_turns_a_file_down(tmp_path: Path, key: str, within_settings: bool) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(examples.configuration(examples.listing(), 8500))
    before = read_configuration(str(path))
    tree = json.loads(path.read_text())
    if within_settings:
        key = {"known": "Customers", "seed": "Weights", "limits": "Reporting"}.get(key, "Ceilings")
        del tree["settings"][key]
    else:
        del tree[key]
    path.write_text(json.dumps(tree))
    with pytest.raises(ConfigurationError):
        read_successor(before)


def test_classes_come_and_go(tmp_path: Path) -> None:
    """New ones are in use at once; one that vanished is served for a deadline more, then turned away; what is
    under way keeps its class."""

    async def test() -> None:
        go = asyncio.Event()

        async def waits(message: Message, writer: Writer) -> None:
            if "slow" in message.start:
                await go.wait()
            writer.write(answer(200, b"yes"))

        upstream = Upstream(waits)
        async with Running(tmp_path, upstream) as running:
            caller, busy = await Caller.connect(running.port), await Caller.connect(running.port)
            busy.write("GET /lookup/slow")
            await within(upstream.arrivals.get())
            rewrite(tmp_path, Profiles=[profile("quote", "non_idempotent"), profile("charge")])
            running.service.reload()
            copy = running.service.copy
            assert copy.host.class_names == ("lookup", "charge", "checkout", "quote")
            assert (await caller.ask("POST /quote", b"x")).status == 200
            assert (await caller.ask("GET /charge")).status == 200  # what it is now
            assert (await caller.ask("GET /lookup")).status == 200  # from a tier that has not heard yet
            copy._served_until_ms["lookup"] = 0.0
            assert (await caller.ask("GET /lookup")).status == 400
            (exchange,) = copy.open.values()
            assert isinstance(exchange, Exchange)
            assert (exchange.category, exchange.klass.effect) == ("lookup", Effect.SAFE)
            go.set()
            assert (await busy.read()).status == 200
            said = await running.call("METRICS")
            assert 'category="lookup",outcome="passed"} 2' in said
            assert 'category="quote",outcome="passed"} 1' in said
            assert await running.figure("loads_total") == 1
            assert not running.broken

    run(test())


def test_reloads_under_load_lose_nothing(tmp_path: Path) -> None:
    """Good and bad files in turn, two signals at once among them, while callers ask."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"yes")))) as running:
            statuses: list[int] = []

            async def asks() -> None:
                caller = await Caller.connect(running.port)
                for _ in range(60):
                    statuses.append((await caller.ask(wait_ms=30_000)).status)

            crowd = [asyncio.create_task(asks()) for _ in range(5)]
            good = (tmp_path / "config.json").read_text()
            for at, how in enumerate([*BAD.values(), {"Ceilings__MaxAttempts": 2}]):
                spoil(tmp_path, how)
                running.service.reload()
                running.service.reload()
                assert running.service.copy.settings.max_attempts == (2 if at == len(BAD) else 4)
                (tmp_path / "config.json").write_text(good)
                running.service.reload()
                await asyncio.sleep(0)
            await within(asyncio.gather(*crowd))
            assert statuses == [200] * 300
            assert not running.broken

    run(test())


def customer(name: str) -> dict[str, Any]:
    return {"Name": name, "Fraction": 0.5, "QuotaPerS": 100.0}


def test_no_tenant_is_given_the_number_of_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Removed, swapped, added, come back, and all gone: each keeps its number, by which the module counts its
    use; who vanished is served for a deadline more, and nobody's requests use up what it had."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"yes")))) as running:
            copy = running.service.copy
            numbers: list[int] = []
            handle = copy._balancer.handle

            def seen(now: float, event: Any) -> Any:
                if isinstance(event, RequestArrived):
                    numbers.append(event.tenant_index)
                return handle(now, event)

            monkeypatch.setattr(copy._balancer, "handle", seen)
            caller = await Caller.connect(running.port)

            async def asked_as(name: str) -> int:
                """The number that it has; -1 where it is turned away."""
                nonlocal caller
                got = await caller.ask(X_Customer=name)
                if got.status == 400:
                    caller = await Caller.connect(running.port)
                    return -1
                return numbers[-1]

            def tenants(*names: str) -> None:
                rewrite(tmp_path, Customers=[customer(name) for name in names])
                running.service.reload()

            assert [await asked_as("acme"), await asked_as("rueda, andina")] == [0, 1]
            tenants("third", "acme")
            assert [await asked_as(name) for name in ("acme", "third", "rueda, andina")] == [0, 2, 1]
            copy._tenants_until_ms["rueda, andina"] = 0.0
            assert await asked_as("rueda, andina") == -1
            tenants("rueda, andina", "third")
            assert [await asked_as(name) for name in ("acme", "third", "rueda, andina")] == [0, 2, 1]
            tenants()
            assert [await asked_as(name) for name in ("acme", "nobody")] == [3, 3]
            tenants("acme")
            assert [await asked_as(name) for name in ("acme", "nobody")] == [0, -1]

    run(test())


def test_looser_settings_do_not_loosen_what_is_under_way(tmp_path: Path) -> None:
    """One attempt was allowed when the request came, then four; its upstreams turn it away each time."""

    async def test() -> None:
        go = asyncio.Event()

        async def waits(_: Message, writer: Writer) -> None:
            await go.wait()
            writer.write(answer(503, X_Never_Ran="1"))

        upstream = Upstream(waits)
        async with Running(tmp_path, upstream, MaxAttempts=1) as running:
            caller = await Caller.connect(running.port)
            caller.write(wait_ms=20_000)
            await within(upstream.arrivals.get())
            rewrite(tmp_path, Ceilings__MaxAttempts=4)
            running.service.reload()
            go.set()
            assert (await caller.read()).status == 503
            assert len(upstream.asked) == 1
            assert (await caller.ask(wait_ms=20_000)).status == 503
            assert len(upstream.asked) > 2  # what comes since then may be sent again

    run(test())
