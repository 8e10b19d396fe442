"""Sites: which are lost, where their requests go, what is rejected meanwhile, how they recover.

Pure: ``evidence`` (what nodes observe of servers, pooled by site), ``site_state`` (a site's state
machine), ``recovery_ramp`` and ``drain_ramp`` (the way back, and out of use),
``fleet_load_shedding`` (what all nodes reject alike), ``operator_overrides`` (drains and returns),
``topology`` (what operators know of sites), ``planning`` (plans computed from it), ``plan_file``
(a plan as it is kept), ``proportional_routing`` (the rule to compare plans with), ``zone_weights``
(a plan applied), ``request_rates`` (a node's own load), ``node_sites`` (one node's part in all of
this), ``operator_view`` (what operators are told). Shell: ``runner``.
"""
