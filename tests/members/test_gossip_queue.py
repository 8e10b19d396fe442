"""The gossip queue."""

from oakbridge.peers.gossip_queue import GossipQueue


def test_gossip_is_bounded_transmitted_in_turn_and_ends():
    news: GossipQueue[int] = GossipQueue(50)
    for i in range(80):
        news.put(str(i), i, 10)
    assert len(news) == 50
    told = [piece for _ in range(200) for piece in news.take(100, 4)]
    assert len(news) == 0
    assert {told.count(i) for i in set(told)} == {4}
    assert len(set(told)) == 50
    news.put("a", 1, 10)
    news.put("a", 2, 10)
    assert news.take(100, 1) == [2]
