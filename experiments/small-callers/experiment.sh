about="100 small callers beside 5 that each ask for 50 times as much"
nodes=3
quick_s=10
start_upstreams() { fleet_engines engines 8001 4 --slots 8 ; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 4 8)"; }
