"""Stand-in servers: what the outside systems of this project are in its demo, tests and measurements.

``behaviour`` decides how each request fares, by a script and a seed (pure); ``server`` carries that out.
"""
