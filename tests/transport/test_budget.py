"""How many bytes of messages may be held: short ones always, long ones in turn."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from madderwind.transport.budget import MIB, Budget, Budgets
from tests.standins import run


def test_long_messages_wait_in_turn_and_short_ones_do_not() -> None:
    async def test() -> None:
        budget, order = Budget(100), list[int]()

        async def waits(number: int, count: int) -> None:
            await budget.wait_for(count)
            order.append(number)

        budget.spend(90)
        tasks = [asyncio.create_task(waits(n, count)) for n, count in enumerate((50, 5, 40))]
        await asyncio.sleep(0)
        assert not budget.try_spend(5)  # others were here before
        budget.spend(30)  # a short one, whatever is left
        assert budget.left == -20
        tasks[0].cancel()
        await asyncio.sleep(0)
        budget.give_back(60)
        await asyncio.sleep(0)
        assert order == [1] and budget.left == 35
        budget.give_back(5)
        await asyncio.gather(*tasks, return_exceptions=True)
        assert order == [1, 2] and budget.left == 0

    run(test())


@given(st.lists(st.tuples(st.integers(1, 60), st.booleans()), max_size=30))
def test_what_is_given_back_is_all_there_again(wants: list[tuple[int, bool]]) -> None:
    async def test() -> None:
        budget = Budget(100)

        async def uses(count: int, leaves: bool) -> None:
            await budget.wait_for(count)
            try:
                assert budget.left >= 0
                await asyncio.sleep(0)
            finally:
                budget.give_back(count)

        tasks = [asyncio.create_task(uses(count, leaves)) for count, leaves in wants]
        await asyncio.sleep(0)
        for task, (_, leaves) in zip(tasks, wants, strict=True):
            if leaves:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert budget.left == 100

    run(test())


def test_a_machines_budget_and_its_halves() -> None:
    budgets = Budgets(192)
    assert 40 * MIB < budgets.holding.size + budgets.passing.size < 140 * MIB
    before = budgets.passing.size
    budgets.passing.spend(1000)
    budgets.share(2)
    assert budgets.passing.left == before // 2 - 1000
    budgets.share(1)
    assert budgets.passing.left == before - 1000
    assert Budgets(1).passing.size == MIB
