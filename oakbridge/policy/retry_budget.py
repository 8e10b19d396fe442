"""The retry budget: limits a replica's retries in relation to its first attempts."""

from oakbridge.policy.settings import Settings
from oakbridge.policy.sliding_window import SlidingWindow


class RetryBudget:
    """Limits retries in a sliding window to ratio x first attempts + floor, shared by tenants."""

    def __init__(self, settings: Settings) -> None:
        """Start with an empty window."""
        self.settings = settings
        self.window = SlidingWindow(settings.retry_window)

    def left(self, now: int) -> float:
        """Return the number of retries that the window still allows."""
        self.window.advance(now)
        floor = self.settings.retry_floor * self.window.seconds
        return self.settings.retry_ratio * self.window.first + floor - self.window.further

    def take(self, now: int, tenant: str, cost: float) -> bool:
        """Spend ``cost`` retries if the budget allows it; return whether it does.

        A tenant may not spend more retries than it leaves to the others.
        """
        left = self.left(now)
        spent = self.window.further_by_name.get(tenant, 0)
        if left < cost or (tenant and spent > 0 and spent + cost > left):
            return False
        self.window.add_further(now, cost, tenant)
        return True
