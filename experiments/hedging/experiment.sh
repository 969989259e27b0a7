about="one of four engines never answers one in four requests; second tries for urgent work"
nodes=3
quick_s=10
start_upstreams() { fleet_engines engines 8001 4 --slots 8 ; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 4 8)"; }
before_load() {
  fleet_http_post "${fleet_upstreams[0]}" /admin/fault '{"mode": "hang", "probability": 0.25}'
}
