about="lowest rank floods at ten times capacity; the two others keep theirs"
nodes=3
quick_s=12
start_upstreams() { fleet_engines engines 8001 4 --slots 4 ; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 4 4)"; }
