about="100 small callers beside 5 that each ask for 50 times as much"
nodes=3
quick_s=10
also_compare=("alone ranked")
start_upstreams() { fleet_engines engines 8001 4 --slots 4 ; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 4 4)"; }
