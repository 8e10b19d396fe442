"""The windowed retry budget: how many retries a replica may make, by its first attempts."""

from oakbridge.policy.settings import Settings
from oakbridge.policy.sliding_window import SlidingWindow


class RetryBudget:
    """Retries in the window stay under ratio x first attempts + floor; tenants share them."""

    def __init__(self, settings: Settings) -> None:
        """Begin with an empty window."""
        self.settings = settings
        self.window = SlidingWindow(settings.retry_window)

    def left(self, now: int) -> float:
        """Return how many retries the window still allows."""
        self.window.advance(now)
        floor = self.settings.retry_floor * self.window.seconds
        return self.settings.retry_ratio * self.window.first + floor - self.window.further

    def take(self, now: int, tenant: str, cost: float) -> bool:
        """Spend a retry if the budget allows it; a tenant may spend as many as it leaves."""
        left = self.left(now)
        spent = self.window.further_by_name.get(tenant, 0)
        if left < cost or (tenant and spent > 0 and spent + cost > left):
            return False
        self.window.add_further(now, cost, tenant)
        return True
