"""A sites.toml of three sites and two classes, and examples of evidence about a site."""

from oakbridge.config.sites_file import load_topology
from oakbridge.sites.evidence import Evidence

SITES_TOML = """
version = 7
[[site]]
name = "a"
capacity = 100.0
[[site]]
name = "b"
capacity = 100.0
[[site]]
name = "c"
capacity = 50.0
keep_free = 0.2
[[class]]
name = "look"
worth = 1.0
[[class]]
name = "book"
worth = 5.0
work = 2.0
[[load]]
site = "a"
class = "look"
rate = 60.0
[[load]]
site = "b"
class = "look"
rate = 50.0
[[load]]
site = "c"
class = "book"
rate = 15.0
[[distance]]
a = "a"
b = "c"
cost = 5.0
"""

SECOND_US = 1_000_000
HALF_SECOND_US = SECOND_US // 2

ALL_RESPOND = Evidence(9, 0, 0, 5, 5)
ALL_FAIL = Evidence(0, 0, 9, 5, 5)
ALL_TIME_OUT = Evidence(0, 9, 0, 5, 5)
ONE_IN_FIVE_TIMES_OUT = Evidence(8, 2, 0, 5, 5)
NO_EVIDENCE = Evidence(0, 0, 0, 0, 5)


def topology_from(folder, text=SITES_TOML):
    (folder / "sites.toml").write_text(text)
    return load_topology(folder / "sites.toml")
