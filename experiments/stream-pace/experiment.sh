about="time between tokens under 500 concurrent streams on one node"
nodes=1
quick_s=15
start_upstreams() { fleet_engines engines 8001 8 --slots 80 --max-waiting 1000; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 8 80)"; }
