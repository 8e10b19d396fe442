"""The windowed retry budget: how many retries a copy may make, as a share of its first attempts."""

from __future__ import annotations

from collections import deque

SECOND = 1_000_000


class RetryBudget:
    """Retries in a sliding window stay under ratio x first attempts + floor; tenants share what it allows."""

    def __init__(self, ratio: float, floor: float, window: int) -> None:
        self.ratio, self.floor, self.window = ratio, floor * window, window
        self.slots: deque[tuple[int, list[float], dict[str, float]]] = deque()  # second, [firsts, retries]
        self.firsts = self.retries = 0.0
        self.by_tenant: dict[str, float] = {}

    def _slot(self, now: int) -> tuple[int, list[float], dict[str, float]]:
        second = now // SECOND
        while self.slots and self.slots[0][0] <= second - self.window:
            _, (firsts, retries), tenants = self.slots.popleft()
            self.firsts -= firsts
            self.retries -= retries
            for name, n in tenants.items():
                self.by_tenant[name] -= n
        if not self.slots or self.slots[-1][0] != second:
            self.slots.append((second, [0.0, 0.0], {}))
        return self.slots[-1]

    def first(self, now: int) -> None:
        """Count a first attempt."""
        self._slot(now)[1][0] += 1
        self.firsts += 1

    def left(self, now: int) -> float:
        """How many retries the window still allows."""
        self._slot(now)
        return self.ratio * self.firsts + self.floor - self.retries

    def take(self, now: int, tenant: str, cost: float) -> bool:
        """Spend a retry if the budget allows it; a tenant may hold as many as are left for the others."""
        left, held = self.left(now), self.by_tenant.get(tenant, 0)
        if left < cost or (tenant and held > 0 and held + cost > left):
            return False
        _, counts, tenants = self._slot(now)
        counts[1] += cost
        self.retries += cost
        tenants[tenant] = tenants.get(tenant, 0) + cost
        self.by_tenant[tenant] = held + cost
        return True
