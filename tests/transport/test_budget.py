"""Limits on the bytes of messages: short messages always get theirs, long ones queue in order."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from madderwind.transport.budget import MIB, Budget, Budgets
from tests.standins import run


def test_long_messages_wait_in_turn_and_short_ones_do_not() -> None:
    async def test() -> None:
        budget, completed = Budget(100), list[int]()

        async def reserve_in_order(number: int, size_bytes: int) -> None:
            await budget.wait_for(size_bytes)
            completed.append(number)

        budget.reserve(90)
        tasks = [
            asyncio.create_task(reserve_in_order(n, size_bytes)) for n, size_bytes in enumerate((50, 5, 40))
        ]
        await asyncio.sleep(0)
        assert not budget.try_reserve(5)  # earlier requests are queued
        budget.reserve(30)  # a short message, beyond the limit
        assert budget.left == -20
        tasks[0].cancel()
        await asyncio.sleep(0)
        budget.give_back(60)
        await asyncio.sleep(0)
        assert completed == [1] and budget.left == 35
        budget.give_back(5)
        await asyncio.gather(*tasks, return_exceptions=True)
        assert completed == [1, 2] and budget.left == 0

    run(test())


@given(st.lists(st.tuples(st.integers(1, 60), st.booleans()), max_size=30))
def test_released_bytes_are_available_again(requests: list[tuple[int, bool]]) -> None:
    async def test() -> None:
        budget = Budget(100)

        async def hold_briefly(size_bytes: int, is_cancelled: bool) -> None:
            await budget.wait_for(size_bytes)
            try:
                assert budget.left >= 0
                await asyncio.sleep(0)
            finally:
                budget.give_back(size_bytes)

        tasks = [
            asyncio.create_task(hold_briefly(size_bytes, is_cancelled))
            for size_bytes, is_cancelled in requests
        ]
        await asyncio.sleep(0)
        for task, (_, is_cancelled) in zip(tasks, requests, strict=True):
            if is_cancelled:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert budget.left == 100

    run(test())


def test_memory_is_split_between_both_budgets_and_between_processes() -> None:
    budgets = Budgets(192)
    assert 40 * MIB < budgets.holding.size + budgets.passing.size < 140 * MIB
    before = budgets.passing.size
    budgets.passing.reserve(1000)
    budgets.share(2)
    assert budgets.passing.left == before // 2 - 1000
    budgets.share(1)
    assert budgets.passing.left == before - 1000
    assert Budgets(1).passing.size == MIB
