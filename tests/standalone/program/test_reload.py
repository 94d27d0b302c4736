"""Reload on SIGHUP: new settings are validated as a whole, on a service with stand-ins."""

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
    """Change settings in the configuration file, `a__b` naming `a.b`; returns the changed document."""
    path = folder / "config.json"
    document: dict[str, Any] = json.loads(path.read_text())
    for location, value in changes.items():
        *parents, key_name = location.split("__")
        node: Any = document["settings"]
        for name in parents:
            node = node[int(name) if name.isdigit() else name]
        node[key_name] = value
    path.write_text(json.dumps(document))
    return document


def profile(name: str, effect: str = "read_like") -> dict[str, Any]:
    return {"Name": name, "Effect": effect, "DeadlineMs": 4000.0, "GoalTimeMs": 1500.0}


INVALID_CHANGES: dict[str, Any] = {
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


def corrupt_configuration(folder: Path, change: Any) -> None:
    path = folder / "config.json"
    if change is None:
        path.write_bytes(path.read_bytes()[:-200])
    elif isinstance(change, dict):
        rewrite(folder, **change)
    elif ">" in change:
        path.write_text(path.read_text().replace(*change.split(">")))
    else:
        path.write_text(change)


@pytest.mark.parametrize("change", INVALID_CHANGES.values(), ids=list(INVALID_CHANGES))
def test_an_invalid_file_is_rejected_as_a_whole(tmp_path: Path, change: Any) -> None:
    """All settings in force stay, including the address of discovery, which the invalid file changes."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"yes")))) as running:
            copy, path = running.service.copy, tmp_path / "config.json"
            host_before = copy.host
            path.write_text(path.read_text().replace(f":{running.agent.port}", ":1"))
            corrupt_configuration(tmp_path, change)
            running.service.reload()
            assert copy.host is host_before
            assert running.service._configuration.discovery[1] == running.agent.port
            assert await running.figure("load_errors_total") == 1
            assert await running.figure("loads_total") == 0
            assert len(running.log.named("configuration_unreadable")) == 1
            assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "seed", "known", "settings", "limits"])
@pytest.mark.parametrize("within_settings", [False, True])
def test_a_file_with_a_missing_key_is_rejected(tmp_path: Path, key: str, within_settings: bool) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(examples.configuration(examples.listing(), 8500))
    current = read_configuration(str(path))
    document = json.loads(path.read_text())
    if within_settings:
        key = {"known": "Customers", "seed": "Weights", "limits": "Reporting"}.get(key, "Ceilings")
        del document["settings"][key]
    else:
        del document[key]
    path.write_text(json.dumps(document))
    with pytest.raises(ConfigurationError):
        read_successor(current)


def test_classes_are_added_and_removed(tmp_path: Path) -> None:
    """New classes apply at once, and open requests keep their class.

    A removed class is served for one more deadline and rejected afterwards.
    """

    async def test() -> None:
        release = asyncio.Event()

        async def answer_after_release(message: Message, writer: Writer) -> None:
            if "slow" in message.start:
                await release.wait()
            writer.write(answer(200, b"yes"))

        upstream = Upstream(answer_after_release)
        async with Running(tmp_path, upstream) as running:
            caller, waiting_caller = await Caller.connect(running.port), await Caller.connect(running.port)
            waiting_caller.write("GET /lookup/slow")
            await within(upstream.arrivals.get())
            rewrite(tmp_path, Profiles=[profile("quote", "non_idempotent"), profile("charge")])
            running.service.reload()
            copy = running.service.copy
            assert copy.host.class_names == ("lookup", "charge", "checkout", "quote")
            assert (await caller.ask("POST /quote", b"x")).status == 200
            assert (await caller.ask("GET /charge")).status == 200  # with its new definition
            assert (await caller.ask("GET /lookup")).status == 200  # from a tier that has not reloaded yet
            copy._served_until_ms["lookup"] = 0.0
            assert (await caller.ask("GET /lookup")).status == 400
            (exchange,) = copy.open.values()
            assert isinstance(exchange, Exchange)
            assert (exchange.category, exchange.klass.effect) == ("lookup", Effect.SAFE)
            release.set()
            assert (await waiting_caller.read()).status == 200
            metrics = await running.call("METRICS")
            assert 'category="lookup",outcome="passed"} 2' in metrics
            assert 'category="quote",outcome="passed"} 1' in metrics
            assert await running.figure("loads_total") == 1
            assert not running.broken

    run(test())


def test_reloads_under_load_lose_nothing(tmp_path: Path) -> None:
    """Valid and invalid files in turn, with two reloads at once, while callers send requests."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"yes")))) as running:
            statuses: list[int] = []

            async def ask_repeatedly() -> None:
                caller = await Caller.connect(running.port)
                for _ in range(60):
                    statuses.append((await caller.ask(wait_ms=30_000)).status)

            callers = [asyncio.create_task(ask_repeatedly()) for _ in range(5)]
            valid_text = (tmp_path / "config.json").read_text()
            for number, change in enumerate([*INVALID_CHANGES.values(), {"Ceilings__MaxAttempts": 2}]):
                corrupt_configuration(tmp_path, change)
                running.service.reload()
                running.service.reload()
                assert running.service.copy.settings.max_attempts == (
                    2 if number == len(INVALID_CHANGES) else 4
                )
                (tmp_path / "config.json").write_text(valid_text)
                running.service.reload()
                await asyncio.sleep(0)
            await within(asyncio.gather(*callers))
            assert statuses == [200] * 300
            assert not running.broken

    run(test())


def customer(name: str) -> dict[str, Any]:
    return {"Name": name, "Fraction": 0.5, "QuotaPerS": 100.0}


def test_no_tenant_gets_the_number_of_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each tenant keeps its number, by which the policy counts its use.

    Tenants are removed, swapped, added, added again, and all removed. A removed tenant is served for one more
    deadline, and no other tenant's requests count against its quota.
    """

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"yes")))) as running:
            copy = running.service.copy
            tenant_numbers: list[int] = []
            handle = copy._balancer.handle

            def record_arrivals(now: float, event: Any) -> Any:
                if isinstance(event, RequestArrived):
                    tenant_numbers.append(event.tenant_index)
                return handle(now, event)

            monkeypatch.setattr(copy._balancer, "handle", record_arrivals)
            caller = await Caller.connect(running.port)

            async def ask_as(name: str) -> int:
                """The number of the tenant; -1 if the request is rejected."""
                nonlocal caller
                response = await caller.ask(X_Customer=name)
                if response.status == 400:
                    caller = await Caller.connect(running.port)
                    return -1
                return tenant_numbers[-1]

            def set_tenants(*names: str) -> None:
                rewrite(tmp_path, Customers=[customer(name) for name in names])
                running.service.reload()

            assert [await ask_as("acme"), await ask_as("rueda, andina")] == [0, 1]
            set_tenants("third", "acme")
            assert [await ask_as(name) for name in ("acme", "third", "rueda, andina")] == [0, 2, 1]
            copy._tenants_until_ms["rueda, andina"] = 0.0
            assert await ask_as("rueda, andina") == -1
            set_tenants("rueda, andina", "third")
            assert [await ask_as(name) for name in ("acme", "third", "rueda, andina")] == [0, 2, 1]
            set_tenants()
            assert [await ask_as(name) for name in ("acme", "nobody")] == [3, 3]
            set_tenants("acme")
            assert [await ask_as(name) for name in ("acme", "nobody")] == [0, -1]

    run(test())


def test_looser_settings_do_not_apply_to_open_requests(tmp_path: Path) -> None:
    """One attempt is allowed when the request arrives, and later four; its upstream rejects every attempt."""

    async def test() -> None:
        release = asyncio.Event()

        async def answer_after_release(_: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer(503, X_Never_Ran="1"))

        upstream = Upstream(answer_after_release)
        async with Running(tmp_path, upstream, MaxAttempts=1) as running:
            caller = await Caller.connect(running.port)
            caller.write(wait_ms=20_000)
            await within(upstream.arrivals.get())
            rewrite(tmp_path, Ceilings__MaxAttempts=4)
            running.service.reload()
            release.set()
            assert (await caller.read()).status == 503
            assert len(upstream.asked) == 1
            assert (await caller.ask(wait_ms=20_000)).status == 503
            assert len(upstream.asked) > 2  # later requests may be retried

    run(test())
