about="every engine fails; upstream tries against callers' requests"
nodes=3
quick_s=10
start_upstreams() { fleet_engines engines 8001 4 --slots 8 ; }
fill_pools() { fleet_fill "$1" engines "$(fleet_upstream_list engine 8001 4 8)"; }
before_load() {
  local upstream
  for upstream in "${fleet_upstreams[@]}"; do
    fleet_http_post "$upstream" /admin/fault '{"mode": "error"}'
  done
}
