"""Sites: detect lost sites, route and shed load while they are lost, and ramp up their recovery.

Without I/O: ``evidence`` (nodes' observations of servers, pooled by site), ``site_state`` (one
site's state machine), ``recovery_ramp`` and ``drain_ramp`` (a site's way back into service, and out
of it), ``fleet_load_shedding`` (the load-shedding level that all nodes apply),
``operator_overrides`` (drains and returns), ``topology`` (capacities, classes, loads and distances
of sites), ``planning`` (plans computed from a topology), ``proportional_routing`` (the baseline
that plans are compared with), ``zone_weights`` (zone weights by a plan), ``request_rates`` (a
node's own request rates), ``node_sites`` (all sites as one node holds them), ``operator_view`` (the
JSON that operators read).  ``plan_file`` has a plan's file format, and writes plans.  ``runner``
updates a node's sites and applies their decisions to its balancer.
"""
