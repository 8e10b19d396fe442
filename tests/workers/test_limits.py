"""The limits of one worker; those of all workers add up to the node's."""

import pytest

from oakbridge.control.paths import worker_socket_path
from oakbridge.node.config import Config
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Endpoint, EndpointListReceived
from oakbridge.policy.settings import RequestClass, Settings
from oakbridge.workers.errors import WorkerLimitsError
from oakbridge.workers.limits import worker_config

SECOND_US = 1_000_000


def node_config():
    request_class = RequestClass("look", 2_500_000, 6_000_000, idempotency="safe")
    settings = Settings(
        classes=(request_class,), replica_count=3, max_open_requests=10, retry_floor=0.4
    )
    return Config("n", ("127.0.0.1", 1), None, 7, 1024, None, settings)


def make_balancer(config):
    """Return a balancer with these settings and sixty servers."""
    balancer = Balancer(config.settings, config.seed)
    balancer.handle(1, EndpointListReceived([Endpoint(f"s{i}") for i in range(60)]))
    return balancer


@pytest.mark.parametrize("worker_count", [1, 2, 4, 8])
def test_limits_of_all_workers_add_up_to_those_of_the_node(worker_count):
    configs = [
        worker_config(node_config(), worker, worker_count) for worker in range(1, worker_count + 1)
    ]
    assert len({config.seed for config in configs}) == worker_count
    assert len({config.name for config in configs}) == worker_count
    assert sum(config.sockets for config in configs) <= 1024
    assert sum(config.settings.retry_floor for config in configs) == pytest.approx(0.4)
    assert all(config.settings.replica_count == 3 * worker_count for config in configs)
    assert all(config.settings.max_open_requests >= 1 for config in configs)
    # In the balancers, the minimum limits and the initial limits add up.  So do the retry budgets,
    # if each worker has an equal share of the node's traffic.
    node, worker = make_balancer(node_config()), make_balancer(configs[0])
    assert worker.admission.min_limit * worker_count == pytest.approx(node.admission.min_limit)
    assert worker.admission.limit * worker_count == pytest.approx(node.admission.limit)
    for balancer, replicas in ((node, 1), (worker, worker_count)):
        for i in range(120 // replicas):
            balancer.budget.window.add_first(SECOND_US + i)
    node_budget, worker_budget = (
        balancer.budget.left(2 * SECOND_US) for balancer in (node, worker)
    )
    assert worker_budget * worker_count == pytest.approx(node_budget)


@pytest.mark.parametrize(
    ("worker_count", "field", "error_text"),
    [
        (0, "workers", "workers: expected 1 to 64, got 0"),
        (65, "workers", "workers: expected 1 to 64, got 65"),
        (9, "limits.sockets", "limits.sockets: expected at least 1152 for 9 workers, got 1024"),
    ],
)
def test_invalid_number_of_workers_is_rejected(worker_count, field, error_text):
    with pytest.raises(WorkerLimitsError) as rejected:
        worker_config(node_config(), 1, worker_count)
    assert rejected.value.field == field
    assert str(rejected.value) == error_text


def test_worker_has_a_control_socket_beside_the_nodes(tmp_path):
    assert worker_socket_path(tmp_path / "n.sock", 3) == tmp_path / "n.3.sock"
