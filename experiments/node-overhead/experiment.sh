about="what the node adds to a direct request at low load"
nodes=1
quick_s=10
start_upstreams() { fleet_engines engines 8001 2 --slots 16 --first-token-ms 1 --token-ms 1; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 2 16)"; }
