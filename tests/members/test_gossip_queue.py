"""The gossip queue."""

from oakbridge.peers.gossip_queue import GossipQueue


def test_items_are_bounded_in_number_and_each_transmitted_up_to_its_limit():
    queue: GossipQueue[int] = GossipQueue(50)
    for i in range(80):
        queue.put(str(i), i, 10)
    assert len(queue) == 50
    taken = [item for _ in range(200) for item in queue.take(100, 4)]
    assert len(queue) == 0
    assert {taken.count(i) for i in set(taken)} == {4}
    assert len(set(taken)) == 50
    queue.put("a", 1, 10)
    queue.put("a", 2, 10)
    assert queue.take(100, 1) == [2]
