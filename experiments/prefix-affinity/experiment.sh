about="prompt tokens recomputed, with shared prefixes and small prefix caches"
nodes=3
quick_s=15
start_upstreams() { fleet_engines engines 8001 8 --slots 8 --prefix-cache-tokens 4096; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 8 8)"; }
